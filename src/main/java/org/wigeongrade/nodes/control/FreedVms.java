package org.wigeongrade.nodes.control;

import java.util.HashMap;
import java.util.Map;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * VMs freed from a group that entry VMs may still send to.
 *
 * <p>Invariant: a VM gets no order until every serving lease of the group that it was freed from has ended, so that no
 * request of the old group meets a VM of a new one. Used by one thread.
 */
final class FreedVms {
    private final Map<VmName, Long> orderableAtNanos = new HashMap<>();

    /** Notes that the group was dissolved; its last serving lease ends at {@code leasesEndNanos} at the latest. */
    void dissolved(FormedGroup group, long leasesEndNanos) {
        group.members().stream().map(VmIncarnation::vm).forEach(vm -> orderableAtNanos.put(vm, leasesEndNanos));
    }

    /** Returns whether the VM may be given an order now. */
    boolean isOrderable(VmName vm, long nowNanos) {
        final Long atNanos = orderableAtNanos.get(vm);
        if (atNanos == null) {
            return true;
        }
        if (nowNanos - atNanos < 0) {
            return false;
        }
        orderableAtNanos.remove(vm);
        return true;
    }
}
