package org.wigeongrade.logging;

import java.util.Locale;
import java.util.logging.Level;

/** Levels that operators can choose for the log. Immutable; safe for use from any thread. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARNING,
    ERROR;

    Level toJavaLevel() {
        return switch (this) {
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }

    /**
     * Parses a level, ignoring case; throws an {@link IllegalArgumentException} that lists the levels if it is unknown.
     */
    public static LogLevel of(String text) {
        try {
            return valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not a log level; expected debug, info, warning or error", e);
        }
    }
}
