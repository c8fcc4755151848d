package org.wigeongrade.standin;

import java.util.SplittableRandom;

/**
 * Decides which requests and responses of a stand-in a fault affects: holds the current fault settings and a seeded
 * random number generator. Safe for use from any thread.
 */
final class FaultInjector {
    private final SplittableRandom random;
    private volatile Faults faults = Faults.NONE;

    FaultInjector(long seed) {
        this.random = new SplittableRandom(seed);
    }

    void set(Faults newFaults) {
        this.faults = newFaults;
    }

    Faults current() {
        return faults;
    }

    boolean dropsResponse() {
        return occursWith(faults.dropAnswersRatio());
    }

    boolean cutsResponseShort() {
        return occursWith(faults.cutShortRatio());
    }

    boolean usesWrongAttemptId() {
        return occursWith(faults.wrongIdRatio());
    }

    boolean refusesRequest() {
        return occursWith(faults.refuseRatio());
    }

    private boolean occursWith(double probability) {
        if (probability <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < probability;
        }
    }
}
