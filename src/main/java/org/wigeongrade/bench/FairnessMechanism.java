package org.wigeongrade.bench;

/** How {@link FairnessSimulation} limits a greedy organisation. */
public enum FairnessMechanism {
    /** No limits. */
    NONE,
    /** Each organisation may have as many requests in flight as there are slots in total, so the limits overlap. */
    LIMITS_THAT_OVERLAP,
    /**
     * The greedy organisation may have requests in flight for at most 80 % of the slots, so that the limits leave room
     * for the small organisations.
     */
    LIMITS_THAT_FIT,
    /** Overlapping limits, and an equal share for each organisation while the slots are nearly used up. */
    LIMITS_AND_FAIR_PART;

    boolean hasLimits() {
        return this != NONE;
    }

    int inFlightLimit(int slots, boolean greedy) {
        return this == LIMITS_THAT_FIT && greedy ? slots * 8 / 10 : slots;
    }

    boolean hasFairShareLimit() {
        return this == LIMITS_AND_FAIR_PART;
    }
}
