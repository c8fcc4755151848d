package org.wigeongrade.decisions.grouping;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.ModelVersionName;

/**
 * Decides when groups across fabric domains are formed and ended. They are slow, and their members could be what groups
 * inside their own domains lack next.
 *
 * <p>Invariants: such a group is formed only while its model has few groups, and only after VMs that come back together, but
 * are heard one after the other, had the time to form one inside a domain. Time is a parameter. Not thread safe.
 */
final class FarGroups {
    private final Map<ModelVersionName, Long> lackedSinceNanos = new HashMap<>();

    /** Takes the news of whether a model has fewer groups than wanted. */
    void noteLacking(GroupedModel model, boolean lacks, long nowNanos) {
        if (lacks) {
            lackedSinceNanos.putIfAbsent(model.name(), nowNanos);
        } else {
            lackedSinceNanos.remove(model.name());
        }
    }

    /** Chooses the members of a group across domains if one is better than none. */
    Optional<FormationChoice> choose(
            GroupedModel model,
            List<VmHeartbeat> free,
            List<ManagedGroup> groups,
            int formed,
            int wanted,
            long nowNanos) {
        final Long sinceNanos = lackedSinceNanos.get(model.name());
        final boolean lackedLong = sinceNanos != null && nowNanos - sinceNanos >= GroupTimings.FAR_PATIENCE_NANOS;
        return lackedLong && formed < WantedGroups.FEW_PART * wanted
                ? FormationChoice.acrossDomains(stranded(free, model, groups), model)
                : Optional.empty();
    }

    /** Returns free VMs in domains without a group of the model; elsewhere they stand by for the group of their domain. */
    private static List<VmHeartbeat> stranded(List<VmHeartbeat> free, GroupedModel model, List<ManagedGroup> groups) {
        final Set<FabricDomain> withGroup = groups.stream()
                .filter(group -> !group.isSpare()
                        && !group.spansDomains()
                        && group.model.name().equals(model.name()))
                .map(group -> group.head().domain)
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
        return free.stream()
                .filter(vm -> vm.domain()
                        .filter(domain -> !withGroup.contains(domain))
                        .isPresent())
                .toList();
    }

    /**
     * Returns a group across domains to end, once its streams are done, where VMs of one domain could form a group instead:
     * those that are free and the members of such groups. One at a time; the next step may end another one.
     */
    static Optional<ManagedGroup> replaceable(
            List<ManagedGroup> groups, List<VmHeartbeat> free, GroupSurroundings around) {
        final boolean changing = groups.stream().anyMatch(group -> group.phase() == GroupPhase.DRAINING);
        return changing
                ? Optional.empty()
                : groups.stream()
                        .filter(FarGroups::servesAcrossDomains)
                        .filter(group -> couldBeNear(group, groups, free, around))
                        .findFirst();
    }

    private static boolean servesAcrossDomains(ManagedGroup group) {
        return group.phase() == GroupPhase.SERVING && group.spansDomains();
    }

    private static boolean couldBeNear(
            ManagedGroup group, List<ManagedGroup> groups, List<VmHeartbeat> free, GroupSurroundings around) {
        final Stream<VmHeartbeat> scattered = groups.stream()
                .filter(other ->
                        servesAcrossDomains(other) && other.model.name().equals(group.model.name()))
                .flatMap(other -> other.members.stream())
                .map(around::record)
                .flatMap(Optional::stream)
                .filter(VmRecord::isStaying)
                .map(VmRecord::heartbeat);
        final List<VmHeartbeat> holders = Stream.concat(scattered, free.stream())
                .filter(vm -> Readiness.of(vm, group.model) != Readiness.EMPTY)
                .toList();
        return FormationChoice.within(holders, group.model, domain -> 0)
                .filter(choice -> choice.members().stream()
                        .anyMatch(vm -> group.has(vm.vm().vm())))
                .isPresent();
    }
}
