package org.wigeongrade.clock;

/**
 * The clock of leases: what it measures never ends late.
 *
 * <p>Invariants: a reading never decreases, and the difference of two readings is at least the time between them, time
 * for which the VM was suspended included. Implementations are safe for use from any thread.
 */
@FunctionalInterface
public interface LeaseClock {
    LeaseTime now();
}
