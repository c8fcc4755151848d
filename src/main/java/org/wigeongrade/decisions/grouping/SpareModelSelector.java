package org.wigeongrade.decisions.grouping;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;

/**
 * Selects the model that a free VM is kept warm for: the one with the lowest ratio of spares in the domain to group
 * size, because a larger group loses a member more often. A VM that has a model loaded keeps that model. Stateless.
 */
final class SpareModelSelector {
    private SpareModelSelector() {}

    static Optional<GroupedModel> selectModel(
            VmHeartbeat vm, EngineProfile engine, List<ManagedGroup> groups, PlanningContext context) {
        final Optional<GroupedModel> loaded = engine.models().stream()
                .filter(model -> Readiness.of(vm, model) == Readiness.WARM)
                .findFirst();
        return loaded.or(() -> modelWithFewestSpares(vm, engine, groups, context));
    }

    private static Optional<GroupedModel> modelWithFewestSpares(
            VmHeartbeat vm, EngineProfile engine, List<ManagedGroup> groups, PlanningContext context) {
        return vm.domain()
                .flatMap(domain -> engine.models().stream()
                        .min(Comparator.comparingDouble((GroupedModel model) ->
                                        (double) countSpares(domain, model, groups, context) / model.groupSize())
                                .thenComparing(model -> Readiness.of(vm, model))
                                .thenComparingInt(model -> -model.groupSize())));
    }

    private static int countSpares(
            FabricDomain domain, GroupedModel model, List<ManagedGroup> groups, PlanningContext context) {
        return (int) groups.stream()
                .filter(group -> group.isSpare() && group.model.name().equals(model.name()))
                .filter(group -> context.record(group.head())
                        .flatMap(spare -> spare.heartbeat().domain())
                        .filter(domain::equals)
                        .isPresent())
                .count();
    }
}
