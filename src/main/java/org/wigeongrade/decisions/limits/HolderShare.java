package org.wigeongrade.decisions.limits;

import org.wigeongrade.ids.NodeName;

/**
 * What the leader knows of one live holder of one bounded thing.
 *
 * <p>Invariant: {@code charged} is at least what the holder may have in use until its deadline. Not thread-safe;
 * {@link ShareLedger} guards it.
 */
final class HolderShare {
    final NodeName holder;
    final long incarnation;
    private long sequence = -1;
    private int charged;
    private int wanted;
    private int coldSlots;
    private long deadlineNanos;
    private long warmCompletions;
    private long epoch;

    /** Begins with the counters of the first report, so that only what comes after them is evidence. */
    HolderShare(NodeName holder, long incarnation, ShareReport first, long nowNanos) {
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

    int charged() {
        return charged;
    }

    int coldSlots() {
        return coldSlots;
    }

    long deadlineNanos() {
        return deadlineNanos;
    }

    FairDivision.Want want() {
        return new FairDivision.Want(holder, wanted);
    }

    /** Returns the answers completed at warm speed that this report adds in its epoch. */
    long newWarmCompletions(ShareReport report) {
        long known = report.epoch() == epoch ? warmCompletions : 0;
        return Math.max(0, report.warmCompletions() - known);
    }

    /**
     * Takes over a report; {@code held} are the slots that the holder may use until it applies the next grant. A holder
     * that reports more counts work whose end it has not heard of yet, or slots that expired before it sent.
     */
    void reported(ShareReport report, int held) {
        sequence = report.sequence();
        charged = held;
        wanted = Math.max(report.wanted(), report.inUse());
        coldSlots = report.coldSlots();
        epoch = report.epoch();
        warmCompletions = report.warmCompletions();
    }

    /** Records the grant that answers the last report. */
    void granted(int slots, int newColdSlots, long newDeadlineNanos) {
        charged = Math.max(charged, slots);
        coldSlots = Math.max(coldSlots, newColdSlots);
        deadlineNanos = newDeadlineNanos;
    }
}
