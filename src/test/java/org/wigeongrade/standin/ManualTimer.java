package org.wigeongrade.standin;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * An executor with virtual time: tasks run in the thread that calls {@link #advanceMs}. Not safe for concurrent use.
 */
final class ManualTimer extends ScheduledThreadPoolExecutor {
    private record Task(long atMs, long sequence, Runnable action) {}

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMs).thenComparingLong(Task::sequence));
    private long nowMs;
    private long scheduledCount;

    ManualTimer() {
        super(0);
    }

    void advanceMs(long stepMs) {
        long untilMs = nowMs + stepMs;
        while (!tasks.isEmpty() && tasks.peek().atMs() <= untilMs) {
            Task task = tasks.remove();
            nowMs = task.atMs();
            task.action().run();
        }
        nowMs = untilMs;
    }

    @Override
    public void execute(Runnable action) {
        ScheduledFuture<?> unused = schedule(action, 0, TimeUnit.MILLISECONDS);
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable action, long delay, TimeUnit unit) {
        scheduledCount++;
        tasks.add(new Task(nowMs + unit.toMillis(delay), scheduledCount, action));
        return new UnusableFuture();
    }

    /** A placeholder future: it never completes and does not reflect its task. */
    private static final class UnusableFuture extends java.util.concurrent.FutureTask<Void>
            implements ScheduledFuture<Void> {
        private static final Callable<Void> NO_OP = () -> null;

        UnusableFuture() {
            super(NO_OP);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }
}
