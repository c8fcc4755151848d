package org.wigeongrade.settings;

/**
 * One fault in a file that an operator wrote. {@code line} counts from 1 and is 0 if the fault belongs to no single
 * line; {@code object} is the key or object at fault; {@code message} says what was expected. Immutable; safe for use
 * from any thread.
 */
public record Fault(String file, int line, String object, String message) {
    /** Returns the fault as one line: {@code file:line: object: message}. */
    public String toLine() {
        final String location = line > 0 ? file + ":" + line : file;
        return location + ": " + object + ": " + message;
    }
}
