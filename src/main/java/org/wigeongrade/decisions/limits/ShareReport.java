package org.wigeongrade.decisions.limits;

/**
 * What an entry VM tells the leader about one share that it holds or wants.
 *
 * <p>{@code sequence} grows with each report of one holder's incarnation for the key. {@code granted} is what the holder
 * may use now: 0 once its deadline passed. {@code inUse} may exceed {@code granted} after a lowered grant.
 * {@code warmCompletions} and {@code coldSigns} count since the holder's start, so that a lost report loses nothing.
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
        long warmCompletions,
        long coldSigns) {
    /** Returns the slots that the holder can have in use until it applies another grant. */
    public int held() {
        return Math.max(granted, inUse);
    }
}
