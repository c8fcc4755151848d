package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.placement.PlacementAction;
import org.wigeongrade.decisions.placement.PlacementInput;
import org.wigeongrade.decisions.placement.PlacementPlanner;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * The baseline of the placement experiment: forms each group in the first fabric domain with enough free VMs, keeps no
 * spares and does not prefer the surviving members of a lost group. Dissolves groups and sends orders as {@link
 * PlacementPlanner} does. Stateless; safe for use from any thread.
 */
final class FirstFitPlanner {
    private FirstFitPlanner() {}

    static List<PlacementAction> plan(PlacementInput input) {
        final Map<FabricDomain, List<Announcement>> freeVms = freeVmsByDomain(input);
        final List<PlacementAction> actions = new ArrayList<>();
        for (final PlacementAction action : PlacementPlanner.plan(input)) {
            if (action instanceof PlacementAction.FormGroup form) {
                moveToFirstFit(form, freeVms).ifPresent(actions::add);
            } else {
                actions.add(action);
            }
        }
        return actions;
    }

    private static Map<FabricDomain, List<Announcement>> freeVmsByDomain(PlacementInput input) {
        final Set<VmName> assignedVms = new HashSet<>();
        for (final FormedGroup group : input.groups()) {
            group.members().forEach(member -> assignedVms.add(member.vm()));
        }
        return input.announcements().stream()
                .filter(announcement -> !assignedVms.contains(announcement.vm().vm()))
                .collect(Collectors.groupingBy(Announcement::fabricDomain, TreeMap::new, Collectors.toList()));
    }

    private static Optional<PlacementAction> moveToFirstFit(
            PlacementAction.FormGroup form, Map<FabricDomain, List<Announcement>> freeVms) {
        final Command.FormGroup command = form.command();
        final int memberCount = command.members().size();
        return freeVms.values().stream()
                .filter(vms -> vms.size() >= memberCount)
                .findFirst()
                .map(vms -> {
                    final List<Announcement> members = List.copyOf(vms.subList(0, memberCount));
                    vms.removeAll(members);
                    return new PlacementAction.FormGroup(withMembers(command, members), form.reason());
                });
    }

    private static Command.FormGroup withMembers(Command.FormGroup command, List<Announcement> members) {
        final List<VmIncarnation> vms = members.stream().map(Announcement::vm).toList();
        return new Command.FormGroup(
                command.group(),
                command.pool(),
                command.modelVersion(),
                members.get(0).zone(),
                members.get(0).fabricDomain(),
                vms,
                command.fencingToken(),
                command.reason(),
                command.proposedAtEpochMs());
    }
}
