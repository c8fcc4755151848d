package org.wigeongrade.decisions.grouping;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;

/**
 * Chooses the model that a free VM is kept warm for: the one with the fewest spares in the domain for each VM of a group,
 * since a larger group loses a member more often. A VM that was in a group before stays with the model of that group.
 * Stateless.
 */
final class SpareChoice {
    private SpareChoice() {}

    static Optional<GroupedModel> modelFor(
            VmHeartbeat vm, EngineProfile engine, List<ManagedGroup> groups, GroupSurroundings around) {
        final Optional<GroupedModel> held = engine.models().stream()
                .filter(model -> Readiness.of(vm, model) == Readiness.WARM)
                .findFirst();
        return held.or(() -> fewestSpares(vm, engine, groups, around));
    }

    private static Optional<GroupedModel> fewestSpares(
            VmHeartbeat vm, EngineProfile engine, List<ManagedGroup> groups, GroupSurroundings around) {
        return vm.domain()
                .flatMap(domain -> engine.models().stream()
                        .min(Comparator.comparingDouble((GroupedModel model) ->
                                        (double) spares(domain, model, groups, around) / model.groupSize())
                                .thenComparing(model -> Readiness.of(vm, model))
                                .thenComparingInt(model -> -model.groupSize())));
    }

    private static int spares(
            FabricDomain domain, GroupedModel model, List<ManagedGroup> groups, GroupSurroundings around) {
        return (int) groups.stream()
                .filter(group -> group.isSpare() && group.model.name().equals(model.name()))
                .filter(group -> around.record(group.head())
                        .flatMap(spare -> spare.heartbeat().domain())
                        .filter(domain::equals)
                        .isPresent())
                .count();
    }
}
