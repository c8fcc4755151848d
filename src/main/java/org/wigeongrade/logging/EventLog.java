package org.wigeongrade.logging;

import java.lang.System.Logger;

/** Writes numbered events through {@link System.Logger}. Immutable; safe for use from any thread. */
public final class EventLog {
    /** Name of the logger that all events are written to. */
    public static final String LOGGER_NAME = "org.wigeongrade";

    private final Logger logger;

    public EventLog() {
        this(System.getLogger(LOGGER_NAME));
    }

    EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Writes one event; {@code values} are given in the order of {@link LogEvent#fields}. */
    public void write(LogEvent event, Object... values) {
        if (logger.isLoggable(event.level())) {
            logger.log(event.level(), "{0}", EventRecord.of(event, values));
        }
    }

    /** Writes one event followed by the stack trace of its cause. */
    public void writeFault(LogEvent event, Throwable fault, Object... values) {
        if (logger.isLoggable(event.level())) {
            logger.log(event.level(), EventRecord.of(event, values).toString(), fault);
        }
    }
}
