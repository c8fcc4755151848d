package org.wigeongrade.logging;

import com.google.common.base.Throwables;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats each record as one logfmt line, {@code time=... level=... event=...}, followed by an indented stack trace if
 * the record has one. Records of libraries get event 0. Stateless; safe for use from any thread.
 */
public final class LogfmtFormatter extends Formatter {
    private static final String EVENT_PREFIX = "event=";
    private static final int STACK_TRACE_INDENT = 4;

    @Override
    public String format(LogRecord logRecord) {
        final String line = "time=" + logRecord.getInstant().truncatedTo(ChronoUnit.MILLIS) + " level="
                + logRecord.getLevel().getName().toLowerCase(Locale.ROOT) + " " + body(logRecord) + "\n";
        return logRecord.getThrown() == null ? line : line + indentedStackTrace(logRecord.getThrown());
    }

    /** Returns the stack trace with each line indented, so that none of its lines can be mistaken for a record. */
    private static String indentedStackTrace(Throwable thrown) {
        return Throwables.getStackTraceAsString(thrown).indent(STACK_TRACE_INDENT);
    }

    private String body(LogRecord logRecord) {
        final Object[] parameters = logRecord.getParameters();
        if (parameters != null && parameters.length == 1 && parameters[0] instanceof EventRecord event) {
            return event.toString();
        }
        final String message = formatMessage(logRecord);
        if (EventLog.LOGGER_NAME.equals(logRecord.getLoggerName()) && message.startsWith(EVENT_PREFIX)) {
            return message;
        }
        return EVENT_PREFIX + "0 name=library logger="
                + LogfmtValue.quoteIfNeeded(String.valueOf(logRecord.getLoggerName())) + " message="
                + LogfmtValue.quote(message);
    }
}
