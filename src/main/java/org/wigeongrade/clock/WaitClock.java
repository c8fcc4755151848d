package org.wigeongrade.clock;

/**
 * The clock of waits: what it measures never ends early.
 *
 * <p>Invariants: a reading never decreases, and the difference of two readings is at most the time between them. It does
 * not depend on the time of day, and may stand still while the VM is suspended. A field or parameter whose name ends in
 * {@code Nanos} and that holds a time is a reading of this clock; times of leases are {@link LeaseTime}. Implementations
 * are safe for use from any thread.
 */
@FunctionalInterface
public interface WaitClock {
    /** Returns the time in nanoseconds since an arbitrary origin. */
    long nowNanos();
}
