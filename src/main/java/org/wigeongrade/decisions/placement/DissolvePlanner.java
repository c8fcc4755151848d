package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.ids.PoolName;

/**
 * Plans the dissolution of every group to which a {@link DissolveRule} applies.
 *
 * <p>Invariant: a group that still serves is dissolved for replacement only while no other group of its pool is loading
 * or being formed, and at most one such group of each pool at a time. Stateless; safe for use from any thread.
 */
final class DissolvePlanner {
    private static final ImmutableList<DissolveRule> RULES = ImmutableList.of(
            new GroupNotDeclared(),
            new MemberRestarted(),
            new MemberLost(),
            new ModelVersionChanged(),
            new GroupSizeChanged(),
            new ZoneNotAllowed());

    private DissolvePlanner() {}

    /** Returns the groups to dissolve; {@code formingPools} are the pools in which the same plan forms groups. */
    static List<PlacementAction> plan(PlacementView view, Set<PoolName> formingPools, FencingTokenIssuer tokens) {
        final List<PlacementAction> actions = new ArrayList<>();
        final Set<PoolName> changingPools = new HashSet<>(formingPools);
        view.input().groups().stream()
                .filter(group -> !view.isLoaded(group))
                .forEach(group -> changingPools.add(group.pool()));
        for (final FormedGroup group : view.input().groups()) {
            final Optional<Finding> finding = firstFinding(group, view);
            if (finding.isEmpty()) {
                continue;
            }
            final DissolveRule rule = finding.get().rule();
            if (rule.replacesServingGroup() && view.isLoaded(group) && !changingPools.add(group.pool())) {
                continue;
            }
            actions.add(dissolve(group, finding.get(), view, tokens));
        }
        return actions;
    }

    private static Optional<Finding> firstFinding(FormedGroup group, PlacementView view) {
        return RULES.stream()
                .flatMap(rule -> rule.find(group, view).map(detail -> new Finding(rule, detail)).stream())
                .findFirst();
    }

    private static PlacementAction dissolve(
            FormedGroup group, Finding finding, PlacementView view, FencingTokenIssuer tokens) {
        final PlacementReason reason = finding.rule().reason();
        final Command.DissolveGroup command = new Command.DissolveGroup(
                group.group(),
                tokens.next(),
                reason.describe(finding.detail()),
                view.input().nowEpochMs());
        return new PlacementAction.DissolveGroup(command, reason);
    }

    private record Finding(DissolveRule rule, String detail) {}
}
