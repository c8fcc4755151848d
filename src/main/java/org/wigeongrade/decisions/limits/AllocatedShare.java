package org.wigeongrade.decisions.limits;

import org.wigeongrade.ids.NodeName;

/**
 * The leader's record of one live holder's share of one limited resource.
 *
 * <p>Invariant: {@code allocated} is at least what the holder may have in use until its deadline. Not thread-safe;
 * {@link ShareAllocator} guards it.
 */
final class AllocatedShare {
    final NodeName holder;
    final long incarnation;
    private long sequence = -1;
    private int allocated;
    private int wanted;
    private int coldSlots;
    private long deadlineNanos;
    private long warmCompletions;
    private long epoch;

    /** Starts from the counters of the first report, so that only later warm completions count. */
    AllocatedShare(NodeName holder, long incarnation, ShareReport first, long nowNanos) {
        this.holder = holder;
        this.incarnation = incarnation;
        this.warmCompletions = first.warmCompletions();
        this.epoch = first.epoch();
        this.deadlineNanos = nowNanos;
    }

    boolean isStale(ShareReport report) {
        return report.sequence() <= sequence;
    }

    boolean isExpired(long nowNanos) {
        return nowNanos - deadlineNanos > 0;
    }

    long sequence() {
        return sequence;
    }

    int allocated() {
        return allocated;
    }

    int coldSlots() {
        return coldSlots;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    FairDivision.Demand demand() {
        return new FairDivision.Demand(holder, wanted);
    }

    /** Returns how many more responses completed at warm speed in the report's epoch than previously reported. */
    long newWarmCompletions(ShareReport report) {
        long counted = report.epoch() == epoch ? warmCompletions : 0;
        return Math.max(0, report.warmCompletions() - counted);
    }

    /**
     * Applies a report; {@code heldSlots} are the slots that the holder may use until it applies the next grant. If the
     * holder reports more than that, it includes work whose end it has not yet noticed, or slots that expired before it
     * sent the report.
     */
    void applyReport(ShareReport report, int heldSlots) {
        sequence = report.sequence();
        allocated = heldSlots;
        wanted = Math.max(report.wanted(), report.inUse());
        coldSlots = report.coldSlots();
        epoch = report.epoch();
        warmCompletions = report.warmCompletions();
    }

    /** Records the grant that answers the last report. */
    void recordGrant(int slots, int newColdSlots, long newDeadlineNanos) {
        allocated = Math.max(allocated, slots);
        coldSlots = Math.max(coldSlots, newColdSlots);
        deadlineNanos = newDeadlineNanos;
    }
}
