package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.VmIncarnation;

/** Finds groups with a member whose announcement lease has ended, since the replica is dead without it. Stateless. */
final class MemberLost implements DissolveRule {
    @Override
    public PlacementReason reason() {
        return PlacementReason.MEMBER_LOST;
    }

    @Override
    public boolean replacesServingGroup() {
        return false;
    }

    @Override
    public Optional<String> find(FormedGroup group, PlacementView view) {
        if (!view.input().knowsMembers()) {
            return Optional.empty();
        }
        return group.members().stream()
                .filter(member -> view.live(member.vm()).isEmpty())
                .findFirst()
                .map(VmIncarnation::toString);
    }
}
