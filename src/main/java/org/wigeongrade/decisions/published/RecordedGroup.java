package org.wigeongrade.decisions.published;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;

/**
 * A group whose head may serve, as the replicated log holds it. Immutable; safe for use from any thread.
 *
 * @param epoch number of the group's formation; larger in later terms
 * @param members members of the group, head first
 * @param opened whether the head is known to have served, so that no order to open it can be under way
 */
public record RecordedGroup(
        ServiceName service,
        GroupName name,
        long epoch,
        ModelVersionName model,
        List<RecordedMember> members,
        boolean opened) {
    /** Identifies a group: its name is unique within a service and epoch. */
    public record Key(ServiceName service, GroupName name, long epoch) {}

    public RecordedGroup {
        members = ImmutableList.copyOf(members);
    }

    public Key key() {
        return new Key(service, name, epoch);
    }

    boolean hasMember(VmName vm) {
        return members.stream().anyMatch(member -> member.vm().vm().equals(vm));
    }
}
