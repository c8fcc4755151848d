package org.wigeongrade.logging;

import java.util.Locale;
import java.util.logging.Level;

/** Levels that operators can choose for the log. Immutable; safe for use from any thread. */
public enum LogLevel {
    DEBUG,
    INFO,
    WARNING,
    ERROR;

    Level level() {
        return switch (this) {
            case DEBUG -> Level.FINE;
            case INFO -> Level.INFO;
            case WARNING -> Level.WARNING;
            case ERROR -> Level.SEVERE;
        };
    }

    /** Reads a level in any case; throws {@link IllegalArgumentException} that lists the levels. */
    public static LogLevel of(String text) {
        try {
            return valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    "'" + text + "' is not a log level; expected debug, info, warning or error", e);
        }
    }
}
