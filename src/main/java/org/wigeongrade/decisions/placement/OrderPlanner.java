package org.wigeongrade.decisions.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.config.DeclaredGroup;
import org.wigeongrade.decisions.config.ModelVersionDeclaration;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;

/**
 * Plans JOIN orders for members that do not follow their group's order yet, and LEAVE orders for VMs that announce a
 * group but belong to none.
 *
 * <p>Invariant: every order carries a fencing token that is in the log. A JOIN order carries the group's token. A LEAVE
 * order carries the last token issued, which is larger than that of every order the VM followed before and smaller than
 * that of every later one. Stateless; safe for use from any thread.
 */
final class OrderPlanner {
    private OrderPlanner() {}

    /** Returns the orders that the VMs do not follow yet; {@code dissolvingGroups} are dissolved by the same plan. */
    static List<PlacementAction> plan(PlacementView view, Set<GroupName> dissolvingGroups) {
        final List<PlacementAction> actions = new ArrayList<>();
        view.input().groups().stream()
                .filter(group -> !dissolvingGroups.contains(group.group()))
                .forEach(group -> planJoins(view, group, actions));
        view.input().announcements().forEach(announcement -> planLeave(view, announcement, actions));
        return actions;
    }

    private static void planJoins(PlacementView view, FormedGroup group, List<PlacementAction> actions) {
        for (final VmIncarnation member : group.members()) {
            final Optional<Announcement> announcement =
                    view.liveAnnouncement(member).filter(live -> !live.follows(group.group(), group.fencingToken()));
            if (announcement.isEmpty()) {
                continue;
            }
            if (!maySendOrders(view, group.group())) {
                actions.add(new PlacementAction.Hold(group.group(), PlacementReason.OLD_LEADER_ORDERS));
                return;
            }
            actions.add(new PlacementAction.SendOrder(
                    joinOrder(view, group, announcement.get()), PlacementReason.ORDER_NOT_FOLLOWED));
        }
    }

    private static void planLeave(PlacementView view, Announcement announcement, List<PlacementAction> actions) {
        if (announcement.group().isEmpty()
                || view.groupOf(announcement.vm().vm()).isPresent()) {
            return;
        }
        final GroupName group = announcement.group().get();
        if (!maySendOrders(view, group)) {
            actions.add(new PlacementAction.Hold(group, PlacementReason.OLD_LEADER_ORDERS));
            return;
        }
        final Order order = new Order(
                OrderKind.LEAVE,
                announcement.vm(),
                announcement.address(),
                group,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                view.input().lastToken());
        actions.add(new PlacementAction.SendOrder(order, PlacementReason.GROUP_NOT_ASSIGNED));
    }

    /** Returns whether the group's endpoints check fencing tokens or no previous leader's order can still arrive. */
    private static boolean maySendOrders(PlacementView view, GroupName group) {
        if (view.input().previousLeaderOrdersEnded()) {
            return true;
        }
        return view.declaredGroup(group)
                .map(DeclaredGroup::pool)
                .filter(PoolDeclaration::fencingChecked)
                .isPresent();
    }

    private static Order joinOrder(PlacementView view, FormedGroup group, Announcement announcement) {
        return new Order(
                OrderKind.JOIN,
                announcement.vm(),
                announcement.address(),
                group.group(),
                group.members().stream().map(VmIncarnation::vm).toList(),
                Optional.of(group.modelVersion()),
                weightsOf(view, group.modelVersion()),
                group.fencingToken());
    }

    private static Optional<String> weightsOf(PlacementView view, ModelVersionName version) {
        return view.input().declaredSet().modelVersions().stream()
                .filter(declared -> declared.name().equals(version))
                .map(ModelVersionDeclaration::weights)
                .findFirst();
    }
}
