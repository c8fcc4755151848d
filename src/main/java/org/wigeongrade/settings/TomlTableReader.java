package org.wigeongrade.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.function.Function;
import org.tomlj.TomlArray;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads one TOML table and reports every invalid, missing or unknown key with its line.
 *
 * <p>Invariant: every key that a caller asked for counts as known; {@link #reportUnknownKeys} reports the others, so it
 * must be called last. Not safe for use from several threads.
 */
public final class TomlTableReader {
    private final String file;
    private final String objectName;
    private final int line;
    private final TomlTable table;
    private final Consumer<Fault> faults;
    private final Set<String> knownKeys = new TreeSet<>();

    /** Creates a reader of {@code table}, which begins at {@code line} and is named {@code objectName} in faults. */
    public TomlTableReader(String file, String objectName, int line, TomlTable table, Consumer<Fault> faults) {
        this.file = file;
        this.objectName = objectName;
        this.line = line;
        this.table = table;
        this.faults = faults;
    }

    /** Returns the line on which the table begins, counted from 1. */
    public int line() {
        return line;
    }

    /** Returns the line of a key, or the line of the table if the key is absent. */
    public int lineOf(String key) {
        final TomlPosition position = table.inputPositionOf(List.of(key));
        return position == null ? line : position.line();
    }

    /** Returns whether the table contains the key, and marks the key as known. */
    public boolean has(String key) {
        knownKeys.add(key);
        return table.keySet().contains(key);
    }

    /** Reads an optional string. A value of another type is reported as a fault and treated as absent. */
    public Optional<String> string(String key) {
        return optionalValue(key, String.class, "a string in double quotes");
    }

    /**
     * Reads and converts an optional string. If the conversion fails, the message of its exception is reported as a
     * fault.
     */
    public <T> Optional<T> optionalConverted(String key, Function<String, T> conversion) {
        final Optional<String> text = string(key);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        try {
            return Optional.of(conversion.apply(text.get()));
        } catch (IllegalArgumentException e) {
            report(key, e.getMessage());
            return Optional.empty();
        }
    }

    /** Reads and converts a required string. */
    public <T> Optional<T> requiredConverted(String key, String expected, Function<String, T> conversion) {
        if (!has(key)) {
            report(key, "is missing; expected " + expected);
            return Optional.empty();
        }
        return optionalConverted(key, conversion);
    }

    /** Reads an optional integer. A value outside {@code min} to {@code max} is reported and treated as absent. */
    public Optional<Long> integer(String key, long min, long max) {
        final String expected = "an integer from " + min + " to " + max;
        final Optional<Long> number = optionalValue(key, Long.class, expected);
        if (number.isPresent() && (number.get() < min || number.get() > max)) {
            report(key, "is " + number.get() + "; expected " + expected);
            return Optional.empty();
        }
        return number;
    }

    /**
     * Reads an optional integer or float. A value outside {@code min} to {@code max} is reported and treated as absent.
     */
    public Optional<Double> number(String key, double min, double max) {
        final String expected = "a number from " + min + " to " + max;
        final Optional<Double> number =
                optionalValue(key, Number.class, expected).map(Number::doubleValue);
        if (number.isPresent() && (number.get() < min || number.get() > max)) {
            report(key, "is " + number.get() + "; expected " + expected);
            return Optional.empty();
        }
        return number;
    }

    /** Reads an optional boolean. */
    public Optional<Boolean> bool(String key) {
        return optionalValue(key, Boolean.class, "true or false");
    }

    /** Reads an optional array of strings. An element of another type is reported as a fault and skipped. */
    public List<String> strings(String key) {
        final Optional<TomlArray> array = optionalValue(key, TomlArray.class, "an array of strings");
        final List<String> strings = new ArrayList<>();
        for (int i = 0; i < array.map(TomlArray::size).orElse(0); i++) {
            if (array.get().get(i) instanceof String text) {
                strings.add(text);
            } else {
                report(key, "element " + (i + 1) + " is not a string; expected an array of strings");
            }
        }
        return strings;
    }

    /**
     * Reads an optional array of tables, written {@code [[key]]}. An element that is not a table is reported and
     * skipped.
     */
    public List<TomlTableReader> tables(String key) {
        final Optional<TomlArray> array = optionalValue(key, TomlArray.class, "tables written [[" + key + "]]");
        final List<TomlTableReader> tables = new ArrayList<>();
        for (int i = 0; i < array.map(TomlArray::size).orElse(0); i++) {
            if (array.get().get(i) instanceof TomlTable element) {
                final int elementLine = array.get().inputPositionOf(i).line();
                tables.add(new TomlTableReader(file, key + " " + (i + 1), elementLine, element, faults));
            } else {
                report(key, "element " + (i + 1) + " is not a table; expected tables written [[" + key + "]]");
            }
        }
        return tables;
    }

    /** Reports a fault at a key of this table. */
    public void report(String key, String message) {
        final String path = objectName.isEmpty() ? key : objectName + "." + key;
        faults.accept(new Fault(file, lineOf(key), path, message));
    }

    /** Reports every key that no caller asked for, and suggests the nearest known key. */
    public void reportUnknownKeys() {
        for (final String key : table.keySet()) {
            if (!knownKeys.contains(key)) {
                report(key, "is not a known key; expected " + suggestionFor(key));
            }
        }
    }

    private String suggestionFor(String key) {
        return NearestName.find(key, knownKeys)
                .map(nearest -> nearest + " (the nearest known key)")
                .orElse("one of " + String.join(", ", knownKeys));
    }

    private <T> Optional<T> optionalValue(String key, Class<T> type, String expected) {
        if (!has(key)) {
            return Optional.empty();
        }
        final Object value = table.get(List.of(key));
        if (!type.isInstance(value)) {
            report(key, "is " + TomlType.of(value).description() + "; expected " + expected);
            return Optional.empty();
        }
        return Optional.of(type.cast(value));
    }
}
