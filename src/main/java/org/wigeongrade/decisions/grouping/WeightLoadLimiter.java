package org.wigeongrade.decisions.grouping;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Limits how many loads from the weight store start within a time window and how many run at once.
 *
 * <p>Invariant: at most half of the store's rate is used, because orders may be carried out late. Not thread safe.
 */
final class WeightLoadLimiter {
    /** Length of the windows over which the weight store counts loads. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Fraction of the store's rate that is used, so that orders carried out late cannot exceed the rate. */
    private static final double USED_FRACTION = 0.5;

    private boolean callersStarted;
    private final Deque<Long> startsNanos = new ArrayDeque<>();

    /** Records that callers send requests; the store does not count earlier loads. */
    void recordCallersStarted() {
        callersStarted = true;
    }

    /** Returns whether callers have started to send requests; from then on a load takes its full time. */
    boolean haveCallersStarted() {
        return callersStarted;
    }

    /** Returns whether the given number of loads may start now. */
    boolean allows(int loads, int runningLoads, double loadsPerSecond, int maxConcurrentLoads, long nowNanos) {
        if (loads == 0) {
            return true;
        }
        if (!callersStarted) {
            // Until callers start, load times only grow in proportion to the concurrent loads, so as many loads
            // run as are allowed at once, to keep the store busy.
            return runningLoads < maxConcurrentLoads;
        }
        final boolean belowConcurrencyLimit = runningLoads == 0 || runningLoads + loads <= maxConcurrentLoads;
        while (!startsNanos.isEmpty() && nowNanos - startsNanos.peekFirst() > WINDOW_NANOS) {
            startsNanos.removeFirst();
        }
        final double maxPerWindow = USED_FRACTION * loadsPerSecond * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS);
        return belowConcurrencyLimit && startsNanos.size() + loads <= Math.max(maxPerWindow, loads);
    }

    void recordStarted(int loads, long nowNanos) {
        for (int i = 0; i < loads; i++) {
            startsNanos.addLast(nowNanos);
        }
    }
}
