package org.wigeongrade.bench;

import org.wigeongrade.decisions.limits.ShareBound;

/** The shares as they are, and baselines that each lack one part of them. */
public enum ShareMechanism {
    SHARES,
    /** Each entry VM takes its equal part, one slot at least, and asks nobody. */
    EQUAL_PARTS,
    /** Slots of an expired holder come back at its deadline although its work may still run. */
    RECLAIM_AT_DEADLINE,
    /** A new leader gives out slots at once. */
    NEW_LEADER_WAITS_FOR_NOTHING,
    /** Entry VMs and the leader take no notice of cold signs. */
    COLD_SIGNS_IGNORED,
    /** A request is sent although its slot expired while the process was frozen. */
    NO_CHECK_BEFORE_SEND;

    boolean asksLeader() {
        return this != EQUAL_PARTS;
    }

    boolean noticesColdSigns() {
        return this != COLD_SIGNS_IGNORED;
    }

    boolean checksBeforeSend() {
        return this != NO_CHECK_BEFORE_SEND;
    }

    ShareBound bound(int capacity, int coldCapacity, long longestRunNanos) {
        long reclaimAfterNanos = this == RECLAIM_AT_DEADLINE ? 0 : longestRunNanos;
        return new ShareBound(capacity, coldCapacity, reclaimAfterNanos);
    }

    long olderLeasesEndNanos(long nowNanos, long leaseNanos) {
        return this == NEW_LEADER_WAITS_FOR_NOTHING
                ? nowNanos - 1_000 * leaseNanos
                : nowNanos + leaseNanos + leaseNanos / 50;
    }
}
