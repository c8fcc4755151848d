package org.wigeongrade.operators;

/**
 * A fault in a declared file at a line and column, both counted from 1. Immutable; safe for use from any thread.
 */
public record FileFault(String file, int line, int column, String code, String message) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + ": " + message + " (" + code + ")";
    }
}
