package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * An order to a VM. Immutable; safe for use from any thread.
 *
 * @param address address at which the VM receives orders
 * @param fencingTerm term of the leader that sends the order; a VM refuses a term lower than the highest one that it
 * has seen
 * @param epoch number of the group's formation; increases with each group
 * @param members members of the group, head first
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
