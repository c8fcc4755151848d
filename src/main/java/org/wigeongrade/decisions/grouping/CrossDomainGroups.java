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
 * Decides when to form and when to replace groups whose members are in different fabric domains. Such groups are slow,
 * and their members may soon be needed for a group within their own domain.
 *
 * <p>Invariants: such a group is formed only while its model is short of groups, and only after a delay. VMs that
 * restart together send their first heartbeats one after the other; the delay gives them time to form a group within
 * one domain. Time is a parameter. Not thread safe.
 */
final class CrossDomainGroups {
    private final Map<ModelVersionName, Long> shortageSinceNanos = new HashMap<>();

    /** Records whether a model has fewer groups than its target. */
    void updateShortage(GroupedModel model, boolean hasShortage, long nowNanos) {
        if (hasShortage) {
            shortageSinceNanos.putIfAbsent(model.name(), nowNanos);
        } else {
            shortageSinceNanos.remove(model.name());
        }
    }

    /** Selects members of a cross-domain group if the model has been short of groups for long enough to need one. */
    Optional<MemberSelection> selectMembers(
            GroupedModel model,
            List<VmHeartbeat> free,
            List<ManagedGroup> groups,
            int groupCount,
            int targetCount,
            long nowNanos) {
        final Long sinceNanos = shortageSinceNanos.get(model.name());
        final boolean longShortage =
                sinceNanos != null && nowNanos - sinceNanos >= GroupTimings.CROSS_DOMAIN_DELAY_NANOS;
        return longShortage && groupCount < TargetGroupCount.SHORTAGE_RATIO * targetCount
                ? MemberSelection.acrossDomains(inDomainsWithoutGroup(free, model, groups), model)
                : Optional.empty();
    }

    /**
     * Returns the free VMs of domains that have no group of the model; elsewhere, free VMs are kept to repair the group
     * of their domain.
     */
    private static List<VmHeartbeat> inDomainsWithoutGroup(
            List<VmHeartbeat> free, GroupedModel model, List<ManagedGroup> groups) {
        final Set<FabricDomain> domainsWithGroup = groups.stream()
                .filter(group -> !group.isSpare()
                        && !group.spansDomains()
                        && group.model.name().equals(model.name()))
                .map(group -> group.head().domain)
                .flatMap(Optional::stream)
                .collect(Collectors.toSet());
        return free.stream()
                .filter(vm -> vm.domain()
                        .filter(domain -> !domainsWithGroup.contains(domain))
                        .isPresent())
                .toList();
    }

    /**
     * Returns a cross-domain group to drain because a group within one domain could replace it, formed of free VMs and
     * members of cross-domain groups of the model. Returns none while another group is draining, so groups are replaced
     * one at a time.
     */
    static Optional<ManagedGroup> findReplaceable(
            List<ManagedGroup> groups, List<VmHeartbeat> free, PlanningContext context) {
        final boolean anyDraining = groups.stream().anyMatch(group -> group.phase() == GroupPhase.DRAINING);
        return anyDraining
                ? Optional.empty()
                : groups.stream()
                        .filter(CrossDomainGroups::servesAcrossDomains)
                        .filter(group -> couldFormWithinDomain(group, groups, free, context))
                        .findFirst();
    }

    private static boolean servesAcrossDomains(ManagedGroup group) {
        return group.phase() == GroupPhase.SERVING && group.spansDomains();
    }

    private static boolean couldFormWithinDomain(
            ManagedGroup group, List<ManagedGroup> groups, List<VmHeartbeat> free, PlanningContext context) {
        final Stream<VmHeartbeat> crossDomainMembers = groups.stream()
                .filter(other ->
                        servesAcrossDomains(other) && other.model.name().equals(group.model.name()))
                .flatMap(other -> other.members.stream())
                .map(context::record)
                .flatMap(Optional::stream)
                .filter(VmRecord::isStaying)
                .map(VmRecord::heartbeat);
        final List<VmHeartbeat> vmsWithWeights = Stream.concat(crossDomainMembers, free.stream())
                .filter(vm -> Readiness.of(vm, group.model) != Readiness.NEEDS_LOAD)
                .toList();
        return MemberSelection.withinDomain(vmsWithWeights, group.model, domain -> 0)
                .filter(selection -> selection.members().stream()
                        .anyMatch(vm -> group.hasMember(vm.vm().vm())))
                .isPresent();
    }
}
