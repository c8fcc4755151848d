package org.wigeongrade.bench;

/** What bounds a greedy organisation in {@link FairnessSimulation}. */
public enum FairnessMechanism {
    /** No limits at all. */
    NONE,
    /** Each organisation may have as many requests in flight as there are slots. */
    LIMITS_THAT_OVERLAP,
    /** The limits of all organisations sum to the slots. */
    LIMITS_THAT_FIT,
    /** Limits that overlap, and an equal part while slots are nearly used up. */
    LIMITS_AND_FAIR_PART;

    boolean hasLimits() {
        return this != NONE;
    }

    int inFlightLimit(int slots, boolean greedy) {
        return this == LIMITS_THAT_FIT && greedy ? slots * 8 / 10 : slots;
    }

    boolean hasFairPart() {
        return this == LIMITS_AND_FAIR_PART;
    }
}
