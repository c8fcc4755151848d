package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.Map;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * Tracks VMs that were freed from a dissolved group to which entry VMs may still send requests.
 *
 * <p>Invariant: a VM gets no order until every serving lease of its old group has ended, so that no request for the old
 * group reaches a VM that already belongs to a new one. Used by one thread.
 */
final class FreedVms {
    private final Map<VmName, Long> leasesEndNanosByVm = new HashMap<>();

    /** Records that the group was dissolved. Its last serving lease ends at {@code leasesEndNanos} at the latest. */
    void recordDissolvedGroup(FormedGroup group, long leasesEndNanos) {
        group.members().stream().map(VmIncarnation::vm).forEach(vm -> leasesEndNanosByVm.put(vm, leasesEndNanos));
    }

    /** Returns whether an order may be sent to the VM now. */
    boolean mayReceiveOrder(VmName vm, long nowNanos) {
        final Long leasesEndNanos = leasesEndNanosByVm.get(vm);
        if (leasesEndNanos == null) {
            return true;
        }
        if (nowNanos - leasesEndNanos < 0) {
            return false;
        }
        leasesEndNanosByVm.remove(vm);
        return true;
    }
}
