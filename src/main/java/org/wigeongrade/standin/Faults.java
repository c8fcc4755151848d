package org.wigeongrade.standin;

/**
 * Faults that a stand-in injects, as set by {@code POST /standin/faults}; a fault that is absent there is off.
 *
 * <p>Ratios are fractions of responses from 0 to 1. {@code turnCold} takes effect once, when it is set. Immutable; safe
 * for use from any thread.
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
