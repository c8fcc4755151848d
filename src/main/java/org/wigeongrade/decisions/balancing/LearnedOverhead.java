package org.wigeongrade.decisions.balancing;

/**
 * Time by which first events come later than the published profile of an engine predicts, as a moving average.
 *
 * <p>Invariant: never negative. Not thread safe.
 */
public final class LearnedOverhead {
    /** Assumed before anything was observed, in milliseconds: what the users' engines took to start an answer. */
    private static final double INITIAL_MS = 100;
    /** Weight of the newest observation; about the last fifty answers count. */
    private static final double NEWEST_WEIGHT = 0.04;
    /** A larger difference comes from an endpoint that stands still and teaches nothing, in milliseconds. */
    private static final double LARGEST_MS = 600;

    private double overheadMs = INITIAL_MS;

    /** Takes how much later than predicted a first event came; negative if it came earlier. */
    public void observed(double laterMs) {
        if (laterMs < LARGEST_MS) {
            overheadMs = Math.max(0, overheadMs + NEWEST_WEIGHT * (laterMs - overheadMs));
        }
    }

    /** Returns the time to add to a predicted first event, in milliseconds. */
    public double ms() {
        return overheadMs;
    }
}
