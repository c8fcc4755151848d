package org.wigeongrade.logging;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Hands records to another handler on a thread of its own.
 *
 * <p>Invariant: publishing never waits; a record that finds the queue full is dropped, and the number of dropped records
 * is written with the next one that passes. Thread safe.
 */
final class QueuedHandler extends Handler {
    /** Records that may wait, some seconds' worth of a busy node. */
    private static final int CAPACITY = 4_096;
    /** Longest wait for the queue to empty when the process ends, in milliseconds. */
    private static final long CLOSE_WAIT_MS = 300;

    private final Handler target;
    private final BlockingQueue<LogRecord> queue = new LinkedBlockingQueue<>(CAPACITY);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread worker = new Thread(this::run, "log");

    private QueuedHandler(Handler target) {
        this.target = target;
        worker.setDaemon(true);
    }

    static QueuedHandler start(Handler target) {
        final QueuedHandler handler = new QueuedHandler(target);
        handler.setLevel(Level.ALL);
        handler.worker.start();
        return handler;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!queue.offer(logRecord)) {
            dropped.incrementAndGet();
        }
    }

    private void run() {
        try {
            while (true) {
                final LogRecord next = queue.take();
                final long lost = dropped.getAndSet(0);
                if (lost > 0) {
                    target.publish(droppedRecord(lost));
                }
                target.publish(next);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static LogRecord droppedRecord(long count) {
        final LogRecord logRecord = new LogRecord(
                Level.WARNING,
                EventRecord.of(LogEvent.RECORDS_SUPPRESSED, count, "queue_full").toString());
        logRecord.setLoggerName(EventLog.LOGGER_NAME);
        return logRecord;
    }

    @Override
    public void flush() {
        target.flush();
    }

    @Override
    public void close() {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_WAIT_MS);
        while (!queue.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
        worker.interrupt();
        target.flush();
    }
}
