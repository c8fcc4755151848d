package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;

/** Finds groups whose number of members differs from their pool's declaration. Stateless. */
final class GroupSizeChanged implements DissolveRule {
    @Override
    public PlacementReason reason() {
        return PlacementReason.GROUP_SIZE_CHANGED;
    }

    @Override
    public boolean replacesServingGroup() {
        return true;
    }

    @Override
    public Optional<String> find(FormedGroup group, PlacementView view) {
        return view.declaredGroup(group.group())
                .filter(declared ->
                        declared.pool().vmsPerReplica() != group.members().size())
                .map(declared ->
                        group.members().size() + " to " + declared.pool().vmsPerReplica());
    }
}
