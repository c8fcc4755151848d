package org.wigeongrade.bench;

import org.wigeongrade.decisions.limits.ResourceLimit;

/** The share mechanism itself, and baselines that each lack one rule of it. */
public enum ShareMechanism {
    SHARES,
    /** Each entry VM takes an equal number of slots, at least one, without asking the leader. */
    EQUAL_PARTS,
    /** The slots of an expired holder are granted again at its deadline, although its requests may still run. */
    RECLAIM_AT_DEADLINE,
    /** A new leader grants slots at once, without waiting for the leases of the previous leader to expire. */
    NEW_LEADER_WAITS_FOR_NOTHING,
    /** Entry VMs and the leader ignore cold signs. */
    COLD_SIGNS_IGNORED,
    /** A request is sent even if its slot expired while the process was frozen. */
    NO_CHECK_BEFORE_SEND;

    boolean asksLeader() {
        return this != EQUAL_PARTS;
    }

    boolean reactsToColdSigns() {
        return this != COLD_SIGNS_IGNORED;
    }

    boolean checksBeforeSend() {
        return this != NO_CHECK_BEFORE_SEND;
    }

    ResourceLimit resourceLimit(int capacity, int coldCapacity, long longestRunNanos) {
        long reclaimAfterNanos = this == RECLAIM_AT_DEADLINE ? 0 : longestRunNanos;
        return new ResourceLimit(capacity, coldCapacity, reclaimAfterNanos);
    }

    long olderLeasesEndNanos(long nowNanos, long leaseNanos) {
        return this == NEW_LEADER_WAITS_FOR_NOTHING
                ? nowNanos - 1_000 * leaseNanos
                : nowNanos + leaseNanos + leaseNanos / 50;
    }
}
