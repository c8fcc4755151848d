package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/** Records that a group entered a new phase. Immutable; safe for use from any thread. */
public record GroupPhaseChange(
        GroupName group, ModelVersionName model, GroupPhase phase, List<VmIncarnation> members, String cause) {
    public GroupPhaseChange {
        members = ImmutableList.copyOf(members);
    }
}
