package org.wigeongrade.logging;

import java.util.OptionalLong;

/**
 * Limits the records that one event may write per second, so that logging does not make an overload worse.
 *
 * <p>Invariant: at most {@link #RECORDS_PER_WINDOW} records pass in a window; the others are counted, and the count is
 * reported with the next record that passes. The current time is a parameter. Safe for use from any thread; no other
 * lock is acquired while its lock is held.
 */
final class EventRateLimiter {
    static final int RECORDS_PER_WINDOW = 50;
    static final long WINDOW_NANOS = 1_000_000_000L;

    private long windowEndNanos = Long.MIN_VALUE;
    private int passedInWindow;
    private long suppressed;

    /**
     * Returns the number of records suppressed since the last one that passed; empty if this record is suppressed too.
     */
    synchronized OptionalLong tryAcquire(long nowNanos) {
        if (windowEndNanos == Long.MIN_VALUE || nowNanos - windowEndNanos >= 0) {
            windowEndNanos = nowNanos + WINDOW_NANOS;
            passedInWindow = 0;
        }
        if (passedInWindow == RECORDS_PER_WINDOW) {
            suppressed++;
            return OptionalLong.empty();
        }
        passedInWindow++;
        final long suppressedBefore = suppressed;
        suppressed = 0;
        return OptionalLong.of(suppressedBefore);
    }
}
