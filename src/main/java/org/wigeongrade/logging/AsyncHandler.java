package org.wigeongrade.logging;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Passes records to another handler on a dedicated thread.
 *
 * <p>Invariant: publishing never blocks; a record is dropped if the queue is full, and the number of dropped records is
 * logged before the next record that is written. Thread safe.
 */
final class AsyncHandler extends Handler {
    /** Records that may wait in the queue; a busy node writes that many in a few seconds. */
    private static final int QUEUE_CAPACITY = 4_096;
    /** Longest wait for the queue to empty when the process ends, in milliseconds. */
    private static final long CLOSE_TIMEOUT_MS = 300;

    private final Handler target;
    private final BlockingQueue<LogRecord> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong droppedCount = new AtomicLong();
    private final Thread worker = new Thread(this::writeQueuedRecords, "log");

    private AsyncHandler(Handler target) {
        this.target = target;
        worker.setDaemon(true);
    }

    static AsyncHandler start(Handler target) {
        final AsyncHandler handler = new AsyncHandler(target);
        handler.setLevel(Level.ALL);
        handler.worker.start();
        return handler;
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!queue.offer(logRecord)) {
            droppedCount.incrementAndGet();
        }
    }

    private void writeQueuedRecords() {
        try {
            while (true) {
                final LogRecord next = queue.take();
                final long droppedSinceLastWrite = droppedCount.getAndSet(0);
                if (droppedSinceLastWrite > 0) {
                    target.publish(droppedRecord(droppedSinceLastWrite));
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
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CLOSE_TIMEOUT_MS);
        while (!queue.isEmpty() && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
        worker.interrupt();
        target.flush();
    }
}
