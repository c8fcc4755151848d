package org.wigeongrade.settings;

/**
 * One fault in a file that an operator wrote. {@code line} counts from 1 and is 0 if the fault has no place in the
 * file; {@code object} is the key or object at fault; {@code message} says what was expected. Immutable; safe for use
 * from any thread.
 */
public record Fault(String file, int line, String object, String message) {
    /** Returns the fault as one line: {@code file:line: object: message}. */
    public String toLine() {
        final String place = line > 0 ? file + ":" + line : file;
        return place + ": " + object + ": " + message;
    }
}
