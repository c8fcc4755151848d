package org.wigeongrade.decisions.limits;

/**
 * Slots that a holder which is gone may still have in use.
 *
 * <p>Kept even at 0 slots, so that what its holder still reports as in use is known to have ended.
 *
 * <p>Invariant: the slots never rise, and none comes back before {@code leaseEndNanos}; after it they come back as the
 * endpoint's own reports show, and all of them once the longest run has passed. Not thread-safe; {@link ShareLedger}
 * guards it.
 */
final class Reclaim {
    private final long leaseEndNanos;
    private final long workEndNanos;
    private final long lastSequence;
    private int slots;

    Reclaim(int slots, long lastSequence, long leaseEndNanos, long workEndNanos) {
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

    /** Takes off slots that a holder turned out to hold, as these count there from now on. */
    void lower(int count) {
        slots = Math.max(0, slots - count);
    }

    /** Applies an endpoint's report of what it runs, made no earlier than {@code notBeforeNanos}. */
    void endpointRuns(int running, long notBeforeNanos) {
        if (notBeforeNanos - leaseEndNanos > 0) {
            slots = Math.min(slots, running);
        }
    }
}
