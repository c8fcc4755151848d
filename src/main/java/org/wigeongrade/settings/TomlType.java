package org.wigeongrade.settings;

import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Types of TOML values, as error messages name them. Immutable; safe for use from any thread. */
enum TomlType {
    STRING("a string"),
    INTEGER("an integer"),
    FLOAT("a float"),
    BOOLEAN("a boolean"),
    ARRAY("an array"),
    TABLE("a table"),
    DATE_OR_TIME("a date or time");

    private final String description;

    TomlType(String description) {
        this.description = description;
    }

    String description() {
        return description;
    }

    static TomlType of(Object value) {
        if (value instanceof String) {
            return STRING;
        }
        if (value instanceof Long) {
            return INTEGER;
        }
        if (value instanceof Double) {
            return FLOAT;
        }
        if (value instanceof Boolean) {
            return BOOLEAN;
        }
        if (value instanceof TomlArray) {
            return ARRAY;
        }
        return value instanceof TomlTable ? TABLE : DATE_OR_TIME;
    }
}
