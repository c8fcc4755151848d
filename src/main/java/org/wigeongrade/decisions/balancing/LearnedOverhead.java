package org.wigeongrade.decisions.balancing;

/**
 * Moving average of the time by which first events come later than the published profile of an engine predicts.
 *
 * <p>Invariant: never negative. Not thread safe.
 */
public final class LearnedOverhead {
    /**
     * Value before the first observation, in milliseconds: the time that the users' engines took to start a response.
     */
    private static final double INITIAL_MS = 100;
    /** Weight of the newest observation; about the last 50 responses count. */
    private static final double NEWEST_WEIGHT = 0.04;
    /** Differences of at least this many milliseconds are ignored, because they come from stalled endpoints. */
    private static final double MAX_DIFFERENCE_MS = 600;

    private double overheadMs = INITIAL_MS;

    /** Records by how many milliseconds a first event came later than predicted; negative if it came earlier. */
    public void record(double differenceMs) {
        if (differenceMs < MAX_DIFFERENCE_MS) {
            overheadMs = Math.max(0, overheadMs + NEWEST_WEIGHT * (differenceMs - overheadMs));
        }
    }

    /** Returns the time to add to the predicted time of a first event, in milliseconds. */
    public double ms() {
        return overheadMs;
    }
}
