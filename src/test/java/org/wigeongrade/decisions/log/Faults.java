package org.wigeongrade.decisions.log;

/**
 * Faults in a simulated run. Some disable a safety mechanism, to show that the checker detects the consequences.
 *
 * @param unsyncedCountsAsSynced the harness reports data as synced before it is
 * @param lostDiskKeepsIncarnation a node whose disk was lost restarts with an empty disk under its old incarnation
 * @param clocksJump when a node is isolated, the clocks of the others jump ahead
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

    Faults withLostDisksKeepingIncarnation() {
        return new Faults(lossProbability, duplicateProbability, false, true, false);
    }

    Faults withClockJumps() {
        return new Faults(lossProbability, duplicateProbability, false, false, true);
    }
}
