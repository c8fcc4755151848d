package org.wigeongrade.decisions.log;

/**
 * What goes wrong in a simulated run, and which mechanisms the harness takes out to show that the checker sees it.
 *
 * @param unsyncedCountsAsSynced the harness reports data as synced before it is
 * @param lostDiskKeepsIncarnation an empty disk comes back under its old incarnation
 * @param clocksJump the clocks of the other nodes jump ahead when one is cut off
 */
record Faults(
        double lossProbability,
        double duplicateProbability,
        boolean unsyncedCountsAsSynced,
        boolean lostDiskKeepsIncarnation,
        boolean clocksJump) {
    static final Faults NONE = new Faults(0, 0, false, false, false);
    static final Faults ALL = new Faults(0.05, 0.05, false, false, false);

    Faults withUnsyncedCountedAsSynced() {
        return new Faults(lossProbability, duplicateProbability, true, false, false);
    }

    Faults withVotesOfEmptyDisks() {
        return new Faults(lossProbability, duplicateProbability, false, true, false);
    }

    Faults withClockJumps() {
        return new Faults(lossProbability, duplicateProbability, false, false, true);
    }
}
