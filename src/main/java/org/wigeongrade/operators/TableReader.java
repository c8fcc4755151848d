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
 * Reads the fields of one TOML table and collects the faults found on the way. A field with a fault reads as its
 * default or null. Not thread safe.
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
    private final TreeSet<String> known = new TreeSet<>();

    TableReader(String file, String tableName, TomlTable table, TomlPosition position, List<FileFault> faults) {
        this.file = file;
        this.tableName = tableName;
        this.table = table;
        this.position = position;
        this.faults = faults;
    }

    /** Returns a required value read by {@code parse}, which throws IllegalArgumentException if it is malformed. */
    <T> T required(String key, Function<String, T> parse) {
        known.add(key);
        if (!table.contains(List.of(key))) {
            fault(position, MISSING_VALUE, "[[" + tableName + "]] has no " + key + "; add " + key + " = \"...\"");
            return null;
        }
        return parsed(key, table.get(List.of(key)), parse);
    }

    /** Returns an optional value read by {@code parse}, or the default. */
    <T> T optional(String key, Function<String, T> parse, T defaultValue) {
        known.add(key);
        if (!table.contains(List.of(key))) {
            return defaultValue;
        }
        return parsed(key, table.get(List.of(key)), parse);
    }

    /** Returns an optional list whose items are read by {@code parse}, or the default. */
    <T> List<T> list(String key, Function<String, T> parse, List<T> defaultValue) {
        known.add(key);
        final Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof TomlArray array)) {
            wrongType(key, "a list of strings");
            return defaultValue;
        }
        final List<T> items = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            final T item = parsed(key, array.get(i), parse);
            if (item != null) {
                items.add(item);
            }
        }
        return ImmutableList.copyOf(items);
    }

    /** Returns a whole number that fits the range of int, or the default. */
    int number(String key, int defaultValue) {
        final long value = bigNumber(key, defaultValue);
        if (value != (int) value) {
            fault(positionOf(key), MALFORMED_VALUE, key + " = " + value + " is too large; use at most 2147483647");
            return defaultValue;
        }
        return (int) value;
    }

    /** Returns a required whole number that fits the range of int, or 1 after a fault. */
    int requiredNumber(String key) {
        if (!table.contains(List.of(key))) {
            known.add(key);
            fault(
                    position,
                    MISSING_VALUE,
                    "[[" + tableName + "]] has no " + key + "; add " + key + " = a whole number");
            return 1;
        }
        return number(key, 1);
    }

    /** Returns a whole number, or the default. */
    long bigNumber(String key, long defaultValue) {
        known.add(key);
        final Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Long number) {
            return number;
        }
        wrongType(key, "a whole number");
        return defaultValue;
    }

    /** Returns true or false, or the default. */
    boolean flag(String key, boolean defaultValue) {
        known.add(key);
        final Object value = table.get(List.of(key));
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Boolean flag) {
            return flag;
        }
        wrongType(key, "true or false");
        return defaultValue;
    }

    /** Reports each key that was not read. Call it after all fields were read. */
    void reportUnknownKeys() {
        for (final String key : table.keySet()) {
            if (!known.contains(key)) {
                fault(positionOf(key), UNKNOWN_KEY, unknown("[[" + tableName + "]] has no key", key, known));
            }
        }
    }

    /** Returns a message that names the nearest known name and all of them. */
    static String unknown(String what, String name, SortedSet<String> known) {
        final String nearest = NearestName.find(name, known)
                .map(candidate -> "did you mean '" + candidate + "'? ")
                .orElse("");
        return what + " '" + name + "'; " + nearest + "known are " + String.join(", ", known);
    }

    private <T> T parsed(String key, Object value, Function<String, T> parse) {
        if (!(value instanceof String text)) {
            wrongType(key, "a string");
            return null;
        }
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            fault(positionOf(key), MALFORMED_VALUE, key + ": " + e.getMessage());
            return null;
        }
    }

    private void wrongType(String key, String expected) {
        fault(positionOf(key), WRONG_TYPE, key + " in [[" + tableName + "]] must be " + expected);
    }

    private TomlPosition positionOf(String key) {
        final TomlPosition found = table.inputPositionOf(List.of(key));
        return found == null ? position : found;
    }

    private void fault(TomlPosition at, String code, String message) {
        faults.add(new FileFault(file, at.line(), at.column(), code, message));
    }
}
