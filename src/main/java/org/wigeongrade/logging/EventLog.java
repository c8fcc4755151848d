package org.wigeongrade.logging;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.Maps;
import java.lang.System.Logger;
import java.util.Arrays;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Writes numbered events through {@link System.Logger}.
 *
 * <p>Invariant: each event has its own {@link EventRateLimiter}; suppressed records are counted and the count is
 * logged. Safe for use from any thread.
 */
public final class EventLog {
    /** Name of the logger that all events are written to. */
    public static final String LOGGER_NAME = "org.wigeongrade";

    private final Logger logger;
    private final LongSupplier clockNanos;
    private final ImmutableMap<LogEvent, EventRateLimiter> rateLimiters =
            Maps.toMap(Arrays.asList(LogEvent.values()), event -> new EventRateLimiter());

    /** Creates a log that uses the system's logger and monotonic clock. */
    public EventLog() {
        this(System.getLogger(LOGGER_NAME), System::nanoTime);
    }

    EventLog(Logger logger, LongSupplier clockNanos) {
        this.logger = logger;
        this.clockNanos = clockNanos;
    }

    /** Writes one event; {@code values} are given in the order of {@link LogEvent#fields}. */
    public void write(LogEvent event, Object... values) {
        if (shouldWrite(event)) {
            logger.log(event.level(), "{0}", EventRecord.of(event, values));
        }
    }

    /** Writes one event, followed by the stack trace of the exception that caused it. */
    public void writeWithStackTrace(LogEvent event, Throwable cause, Object... values) {
        if (shouldWrite(event)) {
            logger.log(event.level(), EventRecord.of(event, values).toString(), cause);
        }
    }

    private boolean shouldWrite(LogEvent event) {
        if (!logger.isLoggable(event.level())) {
            return false;
        }
        final OptionalLong suppressed = rateLimiters.get(event).tryAcquire(clockNanos.getAsLong());
        if (suppressed.orElse(0) > 0) {
            final EventRecord suppressedRecord =
                    EventRecord.of(LogEvent.RECORDS_SUPPRESSED, suppressed.getAsLong(), event.code());
            logger.log(LogEvent.RECORDS_SUPPRESSED.level(), "{0}", suppressedRecord);
        }
        return suppressed.isPresent();
    }
}
