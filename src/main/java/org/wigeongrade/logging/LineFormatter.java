package org.wigeongrade.logging;

import com.google.common.base.Throwables;
import java.time.temporal.ChronoUnit;
import java.util.Locale;
import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Writes each record as {@code time=... level=... event=...} on one line, with an indented stack trace
 * below it if it has one.
 * Records of libraries get event 0. Stateless; safe for use from any thread.
 */
public final class LineFormatter extends Formatter {
    private static final String EVENT_PREFIX = "event=";
    private static final int TRACE_INDENT = 4;

    @Override
    public String format(LogRecord logRecord) {
        final String line = "time=" + logRecord.getInstant().truncatedTo(ChronoUnit.MILLIS) + " level="
                + logRecord.getLevel().getName().toLowerCase(Locale.ROOT) + " " + body(logRecord) + "\n";
        return logRecord.getThrown() == null ? line : line + indentedTrace(logRecord.getThrown());
    }

    /** Returns the stack trace with each line indented, so that no line of it reads as a record. */
    private static String indentedTrace(Throwable thrown) {
        return Throwables.getStackTraceAsString(thrown).indent(TRACE_INDENT);
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
        return EVENT_PREFIX + "0 name=library logger=" + LineText.quoted(String.valueOf(logRecord.getLoggerName()))
                + " message=" + LineText.alwaysQuoted(message);
    }
}
