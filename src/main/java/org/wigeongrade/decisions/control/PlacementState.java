package org.wigeongrade.decisions.control;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Set;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.Revision;

/** State that placement decisions are based on, at one log position. Immutable; safe for use from any thread. */
public record PlacementState(
        Revision revision,
        DeclaredSet declaredSet,
        ImmutableMap<AvailabilityZone, ZoneState> zones,
        List<FormedGroup> groups,
        Set<GroupName> dissolvedGroups,
        FencingToken lastToken) {
    public PlacementState {
        groups = List.copyOf(groups);
        dissolvedGroups = Set.copyOf(dissolvedGroups);
    }
}
