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
    private long coldSigns;

    /** Begins with the counters of the first report, so that only what comes after them is evidence. */
    HolderShare(NodeName holder, long incarnation, ShareReport first, long nowNanos) {
        this.holder = holder;
        this.incarnation = incarnation;
        this.warmCompletions = first.warmCompletions();
        this.coldSigns = first.coldSigns();
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

    /** Returns the cold signs that this report adds. */
    long newColdSigns(ShareReport report) {
        return Math.max(0, report.coldSigns() - coldSigns);
    }

    /** Returns the answers completed at warm speed that this report adds. */
    long newWarmCompletions(ShareReport report) {
        return Math.max(0, report.warmCompletions() - warmCompletions);
    }

    /** Takes over a report; {@code held} are the slots that the holder may use until it applies the next grant. */
    void reported(ShareReport report, int held) {
        sequence = report.sequence();
        charged = held;
        wanted = Math.max(report.wanted(), report.inUse());
        coldSlots = report.coldSlots();
        warmCompletions = Math.max(warmCompletions, report.warmCompletions());
        coldSigns = Math.max(coldSigns, report.coldSigns());
    }

    /** Records the grant that answers the last report. */
    void granted(int slots, int newColdSlots, long newDeadlineNanos) {
        charged = Math.max(charged, slots);
        coldSlots = Math.max(coldSlots, newColdSlots);
        deadlineNanos = newDeadlineNanos;
    }
}
