package org.wigeongrade.logging;

import java.util.OptionalLong;

/**
 * Bounds the records of one event in each second, so that an overload is not made worse by its own log.
 *
 * <p>Invariant: at most {@link #RECORDS_PER_WINDOW} records pass in a window; each other one is counted and reported with
 * the next one that passes. Time is a parameter. Safe for use from any thread; its lock is taken last.
 */
final class EventBudget {
    static final int RECORDS_PER_WINDOW = 50;
    static final long WINDOW_NANOS = 1_000_000_000L;

    private long windowEndNanos = Long.MIN_VALUE;
    private int passed;
    private long suppressed;

    /** Returns the number of records suppressed since the last one that passed, or empty to suppress this one. */
    synchronized OptionalLong tryPass(long nowNanos) {
        if (windowEndNanos == Long.MIN_VALUE || nowNanos - windowEndNanos >= 0) {
            windowEndNanos = nowNanos + WINDOW_NANOS;
            passed = 0;
        }
        if (passed == RECORDS_PER_WINDOW) {
            suppressed++;
            return OptionalLong.empty();
        }
        passed++;
        final long reported = suppressed;
        suppressed = 0;
        return OptionalLong.of(reported);
    }
}
