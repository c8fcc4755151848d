package org.wigeongrade.operators;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;
import org.wigeongrade.settings.NearestName;

/**
 * Reads the fields of one TOML table and collects all faults. A field with a fault gets its default value or null. Not
 * thread safe.
 */
final class TableReader {
    static final String UNKNOWN_KEY = "unknown_key";
    static final String WRONG_TYPE = "wrong_type";
    static final String MISSING_VALUE = "missing_value";
    static final String MALFORMED_VALUE = "malformed_value";

    private final String file;
    private final String tableName;
    private final TomlTable table;
    private final TomlPosition position;
    private final List<FileFault> faults;
    private final TreeSet<String> knownKeys = new TreeSet<>();

    TableReader(String file, String tableName, TomlTable table, TomlPosition position, List<FileFault> faults) {
        this.file = file;
        this.tableName = tableName;
        this.table = table;
        this.position = position;
        this.faults = faults;
    }

    /** Returns a required value parsed by {@code parse}, which throws IllegalArgumentException if it is malformed. */
    <T> T requiredValue(String key, Function<String, T> parse) {
        knownKeys.add(key);
        if (!table.contains(List.of(key))) {
            addFault(position, MISSING_VALUE, "[[" + tableName + "]] has no " + key + "; add " + key + " = \"...\"");
            return null;
        }
        return parseString(key, table.get(List.of(key)), parse);
    }

    /** Returns an optional value parsed by {@code parse}, or the default. */
    <T> T optionalValue(String key, Function<String, T> parse, T defaultValue) {
        knownKeys.add(key);
        if (!table.contains(List.of(key))) {
            return defaultValue;
        }
        return parseString(key, table.get(List.of(key)), parse);
    }

    /** Returns an optional list whose items are parsed by {@code parse}, or the default. */
    <T> List<T> optionalList(String key, Function<String, T> parse, List<T> defaultValue) {
        knownKeys.add(key);
        final Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof TomlArray array)) {
            addWrongType(key, "a list of strings");
            return defaultValue;
        }
        final List<T> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            final T item = parseString(key, array.get(i), parse);
            if (item != null) {
                items.add(item);
            }
        }
        return ImmutableList.copyOf(items);
    }

    /** Returns an optional int, or the default; a number outside the range of int is a fault. */
    int optionalInt(String key, int defaultValue) {
        final long value = optionalLong(key, defaultValue);
        if (value != (int) value) {
            addFault(positionOf(key), MALFORMED_VALUE, key + " = " + value + " is too large; use at most 2147483647");
            return defaultValue;
        }
        return (int) value;
    }

    /** Returns a required int, or 1 after a fault. */
    int requiredInt(String key) {
        if (!table.contains(List.of(key))) {
            knownKeys.add(key);
            addFault(
                    position,
                    MISSING_VALUE,
                    "[[" + tableName + "]] has no " + key + "; add " + key + " = a whole number");
            return 1;
        }
        return optionalInt(key, 1);
    }

    /** Returns an optional long, or the default. */
    long optionalLong(String key, long defaultValue) {
        knownKeys.add(key);
        final Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long number) {
            return number;
        }
        addWrongType(key, "a whole number");
        return defaultValue;
    }

    /** Returns an optional boolean, or the default. */
    boolean optionalBoolean(String key, boolean defaultValue) {
        knownKeys.add(key);
        final Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        addWrongType(key, "true or false");
        return defaultValue;
    }

    /** Adds a fault for each key that was not read. Call it after all fields were read. */
    void reportUnknownKeys() {
        for (final String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                addFault(
                        positionOf(key),
                        UNKNOWN_KEY,
                        unknownNameMessage("[[" + tableName + "]] has no key", key, knownKeys));
            }
        }
    }

    /** Returns a message that suggests the most similar known name and lists all known names. */
    static String unknownNameMessage(String problem, String name, SortedSet<String> knownNames) {
        final String nearest = NearestName.find(name, knownNames)
                .map(candidate -> "did you mean '" + candidate + "'? ")
                .orElse("");
        return problem + " '" + name + "'; " + nearest + "the known names are " + String.join(", ", knownNames);
    }

    private <T> T parseString(String key, Object value, Function<String, T> parse) {
        if (!(value instanceof String text)) {
            addWrongType(key, "a string");
            return null;
        }
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            addFault(positionOf(key), MALFORMED_VALUE, key + ": " + e.getMessage());
            return null;
        }
    }

    private void addWrongType(String key, String expected) {
        addFault(positionOf(key), WRONG_TYPE, key + " in [[" + tableName + "]] must be " + expected);
    }

    private TomlPosition positionOf(String key) {
        final TomlPosition keyPosition = table.inputPositionOf(List.of(key));
        return keyPosition == null ? position : keyPosition;
    }

    private void addFault(TomlPosition faultPosition, String code, String message) {
        faults.add(new FileFault(file, faultPosition.line(), faultPosition.column(), code, message));
    }
}
