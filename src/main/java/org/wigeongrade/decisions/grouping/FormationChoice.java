package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;

/**
 * The VMs that a new group of a model is formed of. Immutable; safe for use from any thread.
 *
 * @param joinMs about how long the slowest member needs to join
 * @param loads members that must load their weights from the weight store
 */
record FormationChoice(ImmutableList<VmHeartbeat> members, long joinMs, int loads) {
    /**
     * Chooses among free VMs the fabric domain whose group would be ready first; among equals the one with the fewest
     * groups of the model, then the one with the most free VMs.
     */
    static Optional<FormationChoice> within(
            List<VmHeartbeat> free, GroupedModel model, ToIntFunction<FabricDomain> groupsInDomain) {
        final Map<FabricDomain, List<VmHeartbeat>> byDomain = free.stream()
                .filter(vm -> vm.domain().isPresent())
                .collect(Collectors.groupingBy(vm -> vm.domain().orElseThrow()));
        return byDomain.entrySet().stream()
                .filter(domain -> domain.getValue().size() >= model.groupSize())
                .min(Comparator.comparingLong((Map.Entry<FabricDomain, List<VmHeartbeat>> domain) ->
                                of(domain.getValue(), model).joinMs())
                        .thenComparingInt(domain -> groupsInDomain.applyAsInt(domain.getKey()))
                        .thenComparingInt(domain -> -domain.getValue().size())
                        .thenComparing(Map.Entry::getKey))
                .map(domain -> of(domain.getValue(), model));
    }

    /** Chooses VMs that need not load, from any domains; such a group is slow, but serves at once. */
    static Optional<FormationChoice> acrossDomains(List<VmHeartbeat> free, GroupedModel model) {
        final List<VmHeartbeat> holding = free.stream()
                .filter(vm -> Readiness.of(vm, model) != Readiness.EMPTY)
                .toList();
        return holding.size() < model.groupSize() ? Optional.empty() : Optional.of(of(holding, model));
    }

    private static FormationChoice of(List<VmHeartbeat> free, GroupedModel model) {
        final ImmutableList<VmHeartbeat> members = free.stream()
                .sorted(Comparator.comparing((VmHeartbeat vm) -> Readiness.of(vm, model))
                        .thenComparing(vm -> vm.coldForMs() > 0)
                        .thenComparing(vm -> vm.loadedModel().isPresent())
                        .thenComparing(vm -> vm.vm().vm()))
                .limit(model.groupSize())
                .collect(ImmutableList.toImmutableList());
        final long joinMs = members.stream()
                .mapToLong(vm -> Readiness.of(vm, model).joinMs(model))
                .max()
                .orElse(0);
        final int loads = (int) members.stream()
                .filter(vm -> Readiness.of(vm, model) == Readiness.EMPTY)
                .count();
        return new FormationChoice(members, joinMs, loads);
    }
}
