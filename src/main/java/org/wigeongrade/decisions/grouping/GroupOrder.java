package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * One order to one VM. Immutable; safe for use from any thread.
 *
 * @param address where the VM takes orders
 * @param fencingTerm term of the leader that gives the order; VMs refuse a lower one than they saw
 * @param epoch number that the group was formed under; grows with each group
 * @param members of the group, head first
 */
public record GroupOrder(
        GroupOrderKind kind,
        VmIncarnation vm,
        String address,
        long fencingTerm,
        GroupName group,
        long epoch,
        ModelVersionName model,
        List<VmName> members) {
    public GroupOrder {
        members = ImmutableList.copyOf(members);
    }
}
