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
    private final long initialReleaseNanos;
    private final Map<VmName, Long> releaseNanos = new HashMap<>();

    /** @param startedNanos start of this leader's term */
    ReleaseTimes(long startedNanos, long headBrokenAfterNanos) {
        this.headBrokenAfterNanos = headBrokenAfterNanos;
        this.initialReleaseNanos = startedNanos + headBrokenAfterNanos;
    }

    /** Records that the VM reports a group that this leader does not manage. */
    void recordInUnadoptedGroup(VmName vm, long nowNanos) {
        releaseNanos.put(vm, nowNanos + headBrokenAfterNanos);
    }

    /** Records that a managed group of the VM has ended, so that its head cannot serve. */
    void recordGroupEnded(VmName vm, long nowNanos) {
        releaseNanos.put(vm, nowNanos);
    }

    /** Returns whether no head can wait for this VM, or the VM reports a group, which is then checked by itself. */
    boolean isReleased(VmRecord vm, long nowNanos) {
        return vm.heartbeat().group().isPresent()
                || nowNanos - releaseNanos.getOrDefault(vm.vm().vm(), initialReleaseNanos) >= 0;
    }
}
