package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Finds groups with a member whose announcement lease has ended, since a replica cannot serve without all its members.
 * Stateless.
 */
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
        if (!view.input().missingMembersAreLost()) {
            return Optional.empty();
        }
        return group.members().stream()
                .filter(member -> view.liveAnnouncement(member.vm()).isEmpty())
                .findFirst()
                .map(VmIncarnation::toString);
    }
}
