package org.wigeongrade.decisions.control;

import java.util.List;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.PoolName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * Group that was formed and has not been dissolved since. The first member receives the group's requests.
 *
 * <p>Invariant: the members are in one fabric domain and belong to no other group. Immutable; safe for use from any
 * thread.
 */
public record FormedGroup(
        GroupName group,
        PoolName pool,
        ModelVersionName modelVersion,
        AvailabilityZone zone,
        FabricDomain fabricDomain,
        List<VmIncarnation> members,
        FencingToken fencingToken,
        String reason,
        long formedAtEpochMs) {
    public FormedGroup {
        members = List.copyOf(members);
    }

    /** Returns whether the VM is a member, in any incarnation. */
    public boolean hasVm(VmName vm) {
        return members.stream().anyMatch(member -> member.vm().equals(vm));
    }

    /** Returns the first member, which receives the group's requests. */
    public VmIncarnation firstMember() {
        return members.get(0);
    }
}
