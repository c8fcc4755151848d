package org.wigeongrade.decisions.limits;

/**
 * Slots that a departed holder may still have in use.
 *
 * <p>An entry remains even at 0 slots, as a record that the work which its holder still reports as in use has ended.
 *
 * <p>Invariant: the slots never increase, and none is reclaimed before {@code leaseEndNanos}. After that, they are
 * reclaimed as the endpoint's own reports show fewer running requests, and all of them once the longest run has passed.
 * Not thread-safe; {@link ShareAllocator} guards it.
 */
final class PendingReclaim {
    private final long leaseEndNanos;
    private final long workEndNanos;
    private final long lastSequence;
    private int slots;

    PendingReclaim(int slots, long lastSequence, long leaseEndNanos, long workEndNanos) {
        this.lastSequence = lastSequence;
        this.slots = slots;
        this.leaseEndNanos = leaseEndNanos;
        this.workEndNanos = workEndNanos;
    }

    int slots(long nowNanos) {
        return nowNanos - workEndNanos > 0 ? 0 : slots;
    }

    boolean isStale(ShareReport report) {
        return report.sequence() <= lastSequence;
    }

    /** Subtracts slots that are from now on counted in a holder's live share. */
    void subtract(int count) {
        slots = Math.max(0, slots - count);
    }

    /** Applies an endpoint's report of its running requests, made no earlier than {@code notBeforeNanos}. */
    void applyEndpointReport(int running, long notBeforeNanos) {
        if (notBeforeNanos - leaseEndNanos > 0) {
            slots = Math.min(slots, running);
        }
    }
}
