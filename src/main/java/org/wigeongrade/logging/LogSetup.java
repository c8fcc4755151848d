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
    /** Held here, since java.util.logging drops the level of a logger that nothing refers to. */
    private static final Logger EVENTS = Logger.getLogger(EventLog.LOGGER_NAME);

    private static final String LIBRARY = "library";

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
        EVENTS.setLevel(level.level());
    }

    /**
     * Sends every record to standard output, without ever waiting for whoever reads it; records beyond a bounded queue
     * are dropped and counted.
     */
    public static void installOnStandardOutput(LogLevel level) {
        LogManager.getLogManager().reset();
        final Logger root = Logger.getLogger("");
        root.setLevel(Level.WARNING);
        root.addHandler(QueuedHandler.start(new FlushingHandler(System.out)));
        EVENTS.setLevel(level.level());
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

    /** Writes each record at once; records of libraries pass one common budget. Safe for use from any thread. */
    private static final class FlushingHandler extends StreamHandler {
        private final EventBudget libraryBudget = new EventBudget();

        FlushingHandler(OutputStream stream) {
            super(stream, new LineFormatter());
            setLevel(Level.ALL);
        }

        @Override
        public synchronized void publish(LogRecord logRecord) {
            if (!EventLog.LOGGER_NAME.equals(logRecord.getLoggerName()) && !libraryRecordPasses()) {
                return;
            }
            super.publish(logRecord);
            flush();
        }

        private boolean libraryRecordPasses() {
            final OptionalLong suppressed = libraryBudget.tryPass(System.nanoTime());
            if (suppressed.orElse(0) > 0) {
                super.publish(suppressedRecord(suppressed.getAsLong()));
            }
            return suppressed.isPresent();
        }

        private static LogRecord suppressedRecord(long count) {
            final EventRecord event = EventRecord.of(LogEvent.RECORDS_SUPPRESSED, count, LIBRARY);
            final LogRecord logRecord = new LogRecord(Level.WARNING, event.toString());
            logRecord.setLoggerName(EventLog.LOGGER_NAME);
            return logRecord;
        }
    }
}
