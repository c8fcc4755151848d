package org.wigeongrade.standin;

import java.util.SplittableRandom;

/**
 * The fault switches in force at one stand-in and the seeded source that picks the answers they hit. Safe for use from
 * any thread.
 */
final class FaultSwitches {
    private final SplittableRandom random;
    private volatile Faults faults = Faults.NONE;

    FaultSwitches(long seed) {
        this.random = new SplittableRandom(seed);
    }

    void set(Faults newFaults) {
        this.faults = newFaults;
    }

    Faults current() {
        return faults;
    }

    boolean dropsAnswer() {
        return hits(faults.dropAnswersRatio());
    }

    boolean cutsShort() {
        return hits(faults.cutShortRatio());
    }

    boolean givesWrongId() {
        return hits(faults.wrongIdRatio());
    }

    boolean refuses() {
        return hits(faults.refuseRatio());
    }

    private boolean hits(double ratio) {
        if (ratio <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < ratio;
        }
    }
}
