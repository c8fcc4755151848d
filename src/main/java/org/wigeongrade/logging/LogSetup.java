package org.wigeongrade.logging;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.StreamHandler;

/** Sends all log records of this process to stderr or to one file. Call it once, before other threads start. */
public final class LogSetup {
    /** Strong reference, since java.util.logging loses the level of a logger that is garbage-collected. */
    private static final Logger EVENT_LOGGER = Logger.getLogger(EventLog.LOGGER_NAME);

    private static final String LIBRARY_RECORDS = "library";

    private LogSetup() {}

    /**
     * Replaces every log handler. Records of libraries below {@code WARNING} are dropped.
     *
     * @throws UncheckedIOException if the file cannot be opened for appending
     */
    public static void install(LogLevel level, Optional<Path> file) {
        LogManager.getLogManager().reset();
        final Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(new FlushingHandler(open(file)));
        EVENT_LOGGER.setLevel(level.toJavaLevel());
    }

    /**
     * Sends every record to standard output without ever blocking on a slow reader; records that do not fit into a
     * bounded queue are dropped and counted.
     */
    public static void installOnStandardOutput(LogLevel level) {
        LogManager.getLogManager().reset();
        final Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(AsyncHandler.start(new FlushingHandler(System.out)));
        EVENT_LOGGER.setLevel(level.toJavaLevel());
    }

    private static OutputStream open(Optional<Path> file) {
        if (file.isEmpty()) {
            return System.err;
        }
        try {
            return Files.newOutputStream(file.get(), StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException e) {
            throw new UncheckedIOException("log file " + file.get() + " cannot be opened", e);
        }
    }

    /**
     * Flushes each record immediately; the records of all libraries share one rate limit. Safe for use from any thread.
     */
    private static final class FlushingHandler extends StreamHandler {
        private final EventRateLimiter libraryRateLimiter = new EventRateLimiter();

        FlushingHandler(OutputStream stream) {
            super(stream, new LogfmtFormatter());
            setLevel(Level.ALL);
        }

        @Override
        public synchronized void publish(LogRecord logRecord) {
            if (!EventLog.LOGGER_NAME.equals(logRecord.getLoggerName()) && !shouldWriteLibraryRecord()) {
                return;
            }
            super.publish(logRecord);
            flush();
        }

        private boolean shouldWriteLibraryRecord() {
            final OptionalLong suppressed = libraryRateLimiter.tryAcquire(System.nanoTime());
            if (suppressed.orElse(0) > 0) {
                super.publish(suppressedRecord(suppressed.getAsLong()));
            }
            return suppressed.isPresent();
        }

        private static LogRecord suppressedRecord(long count) {
            final EventRecord event = EventRecord.of(LogEvent.RECORDS_SUPPRESSED, count, LIBRARY_RECORDS);
            final LogRecord logRecord = new LogRecord(Level.WARNING, event.toString());
            logRecord.setLoggerName(EventLog.LOGGER_NAME);
            return logRecord;
        }
    }
}
