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
 * Orders members into their groups and VMs that belong to none out of the group they announce.
 *
 * <p>Invariant: an order carries a token that is in the log: the group's own, or for a leave the last one issued, which
 * is larger than that of every order the VM followed before and smaller than that of every later one. Stateless; safe
 * for use from any thread.
 */
final class OrderPlanner {
    private OrderPlanner() {}

    /** Returns the orders that are not followed yet; {@code dissolving} are the groups that this plan dissolves. */
    static List<PlacementAction> plan(PlacementView view, Set<GroupName> dissolving) {
        final List<PlacementAction> actions = new ArrayList<>();
        view.input().groups().stream()
                .filter(group -> !dissolving.contains(group.group()))
                .forEach(group -> join(view, group, actions));
        view.input().announcements().forEach(said -> leave(view, said, actions));
        return actions;
    }

    private static void join(PlacementView view, FormedGroup group, List<PlacementAction> actions) {
        for (final VmIncarnation member : group.members()) {
            final Optional<Announcement> said =
                    view.live(member).filter(announced -> !announced.follows(group.group(), group.fencingToken()));
            if (said.isEmpty()) {
                continue;
            }
            if (!mayOrder(view, group.group())) {
                actions.add(new PlacementAction.Hold(group.group(), PlacementReason.OLD_LEADER_ORDERS));
                return;
            }
            actions.add(new PlacementAction.SendOrder(
                    joinOrder(view, group, said.get()), PlacementReason.ORDER_NOT_FOLLOWED));
        }
    }

    private static void leave(PlacementView view, Announcement said, List<PlacementAction> actions) {
        if (said.group().isEmpty() || view.groupOf(said.vm().vm()).isPresent()) {
            return;
        }
        final GroupName group = said.group().get();
        if (!mayOrder(view, group)) {
            actions.add(new PlacementAction.Hold(group, PlacementReason.OLD_LEADER_ORDERS));
            return;
        }
        final Order order = new Order(
                OrderKind.LEAVE,
                said.vm(),
                said.address(),
                group,
                List.of(),
                Optional.empty(),
                Optional.empty(),
                view.input().lastToken());
        actions.add(new PlacementAction.SendOrder(order, PlacementReason.GROUP_NOT_ASSIGNED));
    }

    /** Returns whether the group's endpoints check fencing tokens, or the earlier leader's orders have all ended. */
    private static boolean mayOrder(PlacementView view, GroupName group) {
        if (view.input().oldLeaderOrdersEnded()) {
            return true;
        }
        return view.declared(group)
                .map(DeclaredGroup::pool)
                .filter(PoolDeclaration::fencingChecked)
                .isPresent();
    }

    private static Order joinOrder(PlacementView view, FormedGroup group, Announcement said) {
        return new Order(
                OrderKind.JOIN,
                said.vm(),
                said.address(),
                group.group(),
                group.members().stream().map(VmIncarnation::vm).toList(),
                Optional.of(group.modelVersion()),
                weights(view, group.modelVersion()),
                group.fencingToken());
    }

    private static Optional<String> weights(PlacementView view, ModelVersionName version) {
        return view.input().declaredSet().modelVersions().stream()
                .filter(declared -> declared.name().equals(version))
                .map(ModelVersionDeclaration::weights)
                .findFirst();
    }
}
