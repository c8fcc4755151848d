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
 * The VMs selected to form a new group of a model. Immutable; safe for use from any thread.
 *
 * @param estimatedJoinMs estimated time that the slowest member needs to join
 * @param storeLoads number of members that must load the weights from the weight store
 */
record MemberSelection(ImmutableList<VmHeartbeat> members, long estimatedJoinMs, int storeLoads) {
    /**
     * Selects free VMs of the fabric domain whose group would be ready first. Ties go to the domain with the fewest
     * groups of the model, then to the one with the most free VMs.
     */
    static Optional<MemberSelection> withinDomain(
            List<VmHeartbeat> free, GroupedModel model, ToIntFunction<FabricDomain> groupsInDomain) {
        final Map<FabricDomain, List<VmHeartbeat>> byDomain = free.stream()
                .filter(vm -> vm.domain().isPresent())
                .collect(Collectors.groupingBy(vm -> vm.domain().orElseThrow()));
        return byDomain.entrySet().stream()
                .filter(domain -> domain.getValue().size() >= model.groupSize())
                .min(Comparator.comparingLong((Map.Entry<FabricDomain, List<VmHeartbeat>> domain) ->
                                selectFastest(domain.getValue(), model).estimatedJoinMs())
                        .thenComparingInt(domain -> groupsInDomain.applyAsInt(domain.getKey()))
                        .thenComparingInt(domain -> -domain.getValue().size())
                        .thenComparing(Map.Entry::getKey))
                .map(domain -> selectFastest(domain.getValue(), model));
    }

    /**
     * Selects VMs of any domains that need not load the weights from the store. Such a group is slow but can serve at
     * once.
     */
    static Optional<MemberSelection> acrossDomains(List<VmHeartbeat> free, GroupedModel model) {
        final List<VmHeartbeat> vmsWithWeights = free.stream()
                .filter(vm -> Readiness.of(vm, model) != Readiness.NEEDS_LOAD)
                .toList();
        return vmsWithWeights.size() < model.groupSize()
                ? Optional.empty()
                : Optional.of(selectFastest(vmsWithWeights, model));
    }

    private static MemberSelection selectFastest(List<VmHeartbeat> free, GroupedModel model) {
        final ImmutableList<VmHeartbeat> members = free.stream()
                .sorted(Comparator.comparing((VmHeartbeat vm) -> Readiness.of(vm, model))
                        .thenComparing(vm -> vm.coldForMs() > 0)
                        .thenComparing(vm -> vm.loadedModel().isPresent())
                        .thenComparing(vm -> vm.vm().vm()))
                .limit(model.groupSize())
                .collect(ImmutableList.toImmutableList());
        final long estimatedJoinMs = members.stream()
                .mapToLong(vm -> Readiness.of(vm, model).estimatedJoinMs(model))
                .max()
                .orElse(0);
        final int storeLoads = (int) members.stream()
                .filter(vm -> Readiness.of(vm, model) == Readiness.NEEDS_LOAD)
                .count();
        return new MemberSelection(members, estimatedJoinMs, storeLoads);
    }
}
