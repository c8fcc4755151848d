package org.wigeongrade.decisions.limits;

/**
 * An entry VM's report to the leader about one share that it holds or wants.
 *
 * <p>{@code sequence} increases with each report for the key by one incarnation of the holder. {@code granted} is what
 * the holder may use now: 0 after its deadline. {@code inUse} may exceed {@code granted} after a lowered grant.
 * {@code epoch} is that of the last grant applied. {@code warmCompletions} counts the responses at warm speed to work
 * started since the first grant of that epoch. {@code coldSignEpoch} is the epoch in which the holder last saw a cold
 * sign ({@link #NO_COLD_SIGN} if none). These are totals rather than increments, so that a lost report loses no
 * information.
 *
 * <p>Invariant: a holder that sent this report ignores every grant that answers an older one. Immutable; safe for use
 * from any thread.
 */
public record ShareReport(
        ShareKey key,
        long sequence,
        int granted,
        int coldSlots,
        int inUse,
        int wanted,
        long epoch,
        long warmCompletions,
        long coldSignEpoch) {
    /** Value of {@code coldSignEpoch} for a holder that saw no cold sign. */
    public static final long NO_COLD_SIGN = -1;

    /** Returns how many slots the holder can have in use until it applies another grant. */
    public int held() {
        return Math.max(granted, inUse);
    }
}
