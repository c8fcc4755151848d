package org.wigeongrade.decisions.grouping;

import java.util.HashMap;
import java.util.Map;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.ids.VmName;

/**
 * Knows from when on a VM that reports no group may be used.
 *
 * <p>A VM that reports no group may have left one, or have been restarted, shortly before this leader's term. The head
 * of that group then serves or stalls for up to the engines' stall time, and may be unreachable for this leader.
 * Invariant: a VM without a group is usable only if this leader saw its group end, or if no group that this leader does
 * not manage can have lost the VM within that time. Not thread safe.
 */
final class ReleaseTimes {
    private final long headBrokenAfterNanos;
    private final long startedNanos;
    private final Map<VmName, Long> releaseNanos = new HashMap<>();

    /** @param startedNanos start of this leader's term */
    ReleaseTimes(long startedNanos, long headBrokenAfterNanos) {
        this.headBrokenAfterNanos = headBrokenAfterNanos;
        this.startedNanos = startedNanos;
    }

    /** Records that the VM reports a group that this leader does not manage. */
    void recordInUnadoptedGroup(VmName vm, long nowNanos) {
        releaseNanos.put(vm, nowNanos + headBrokenAfterNanos);
    }

    /**
     * Records a VM that has sent a heartbeat in this term. One that is new while VMs look for the leader may have been
     * in a group until then; one that is new later has just started.
     */
    void recordHeard(VmName vm, long nowNanos) {
        final boolean lookedForLeader = nowNanos - startedNanos <= GroupTimings.LEADER_SEARCH_NANOS;
        releaseNanos.putIfAbsent(vm, lookedForLeader ? nowNanos + headBrokenAfterNanos : nowNanos);
    }

    /** Records that a managed group of the VM has ended, so that its head cannot serve. */
    void recordGroupEnded(VmName vm, long nowNanos) {
        releaseNanos.put(vm, nowNanos);
    }

    /** Returns whether no head can wait for this VM, or the VM reports a group, which is then checked by itself. */
    boolean isReleased(VmRecord vm, long nowNanos) {
        return vm.heartbeat().group().isPresent()
                || hasNeverJoined(vm)
                || nowNanos - releaseNanos.getOrDefault(vm.vm().vm(), nowNanos + headBrokenAfterNanos) >= 0;
    }

    /** Joining stages the model, and a host keeps its staged models when the process is restarted. */
    private static boolean hasNeverJoined(VmRecord vm) {
        return vm.heartbeat().stagedModels().isEmpty()
                && vm.heartbeat().loadedModel().isEmpty();
    }
}
