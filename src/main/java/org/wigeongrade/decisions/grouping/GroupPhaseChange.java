package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Records that a group entered a new phase. Immutable; safe for use from any thread.
 *
 * @param evidence why the head cannot serve any more; present in the phase ENDED only
 */
public record GroupPhaseChange(
        GroupName group,
        ModelVersionName model,
        GroupPhase phase,
        List<VmIncarnation> members,
        String cause,
        Optional<GroupEndEvidence> evidence) {
    public GroupPhaseChange {
        members = ImmutableList.copyOf(members);
    }
}
