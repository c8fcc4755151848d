package org.wigeongrade.decisions.limits;

/**
 * What an entry VM tells the leader about one share that it holds or wants.
 *
 * <p>{@code sequence} grows with each report of one holder's incarnation for the key. {@code granted} is what the holder
 * may use now: 0 once its deadline passed. {@code inUse} may exceed {@code granted} after a lowered grant. {@code epoch}
 * is that of the last grant applied, {@code warmCompletions} the answers at warm speed to work begun since the first
 * grant of that epoch, and {@code coldSignEpoch} the epoch in which the holder last saw a cold sign ({@link
 * #NO_COLD_SIGN} if none). These are totals and not changes, so that a lost report loses nothing.
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

    /** Returns the slots that the holder can have in use until it applies another grant. */
    public int held() {
        return Math.max(granted, inUse);
    }
}
