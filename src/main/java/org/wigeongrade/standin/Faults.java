package org.wigeongrade.standin;

/**
 * Fault switches of a stand-in, as set by {@code POST /standin/faults}; absent ones are off.
 *
 * <p>Ratios are shares of answers from 0 to 1. {@code turnCold} acts once, when it is set. Immutable; safe for use from
 * any thread.
 */
public record Faults(
        long delayMs,
        double dropAnswersRatio,
        double cutShortRatio,
        double wrongIdRatio,
        double refuseRatio,
        boolean turnCold,
        boolean hang,
        boolean stopAnnouncing) {
    /** No fault. */
    public static final Faults NONE = new Faults(0, 0, 0, 0, 0, false, false, false);
}
