package org.wigeongrade.settings;

import org.tomlj.TomlArray;
import org.tomlj.TomlTable;

/** Kinds of TOML values as messages name them. Immutable; safe for use from any thread. */
enum TomlKind {
    STRING("a string"),
    INTEGER("an integer"),
    FLOAT("a float"),
    BOOLEAN("a boolean"),
    ARRAY("an array"),
    TABLE("a table"),
    DATE_OR_TIME("a date or time");

    private final String phrase;

    TomlKind(String phrase) {
        this.phrase = phrase;
    }

    String phrase() {
        return phrase;
    }

    static TomlKind of(Object value) {
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
