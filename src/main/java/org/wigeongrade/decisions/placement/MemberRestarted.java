package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.ids.VmIncarnation;

/** Finds groups with a restarted member, since its new process no longer holds its part of the model. Stateless. */
final class MemberRestarted implements DissolveRule {
    @Override
    public PlacementReason reason() {
        return PlacementReason.MEMBER_RESTARTED;
    }

    @Override
    public boolean replacesServingGroup() {
        return false;
    }

    @Override
    public Optional<String> find(FormedGroup group, PlacementView view) {
        return group.members().stream()
                .filter(member -> hasRestarted(member, view))
                .findFirst()
                .map(VmIncarnation::toString);
    }

    private static boolean hasRestarted(VmIncarnation member, PlacementView view) {
        return view.liveAnnouncement(member.vm())
                .map(Announcement::vm)
                .filter(vm -> vm.incarnation() > member.incarnation())
                .isPresent();
    }
}
