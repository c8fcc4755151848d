package org.wigeongrade.clock;

/**
 * A reading of a {@link LeaseClock}, or the deadline of a lease on it. It cannot be compared with a reading of a
 * {@link WaitClock}. Immutable; safe for use from any thread.
 *
 * @param nanos nanoseconds since an arbitrary origin
 */
public record LeaseTime(long nanos) {
    /** Returns the time that is {@code durationNanos} later. */
    public LeaseTime plusNanos(long durationNanos) {
        return new LeaseTime(nanos + durationNanos);
    }

    /** Returns the time since an earlier reading, in nanoseconds; negative if {@code earlier} is later. */
    public long nanosSince(LeaseTime earlier) {
        return nanos - earlier.nanos;
    }

    /** Returns whether this deadline has been reached at {@code now}. */
    public boolean hasPassed(LeaseTime now) {
        return now.nanos - nanos >= 0;
    }
}
