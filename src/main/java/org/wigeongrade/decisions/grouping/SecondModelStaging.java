package org.wigeongrade.decisions.grouping;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.ModelVersionName;

/**
 * Selects spares to load the weights of a second model onto their hosts. Such a spare joins a group of its own model at
 * once and a group of the second model after a warm-up; without this it would need many seconds to load. Stateless.
 */
final class SecondModelStaging {
    /** Maximum number of VMs in a domain that are ready for a model while one more is still useful. */
    private static final int MAX_READY_IN_DOMAIN = 1;

    /** A spare and the second model to load onto its host. Immutable; safe for use from any thread. */
    record Candidate(ManagedGroup spare, GroupedModel model, int readyInDomain) {
        GroupOrder order(long fencingTerm) {
            final GroupMember member = spare.head();
            return new GroupOrder(
                    GroupOrderKind.STAGE,
                    member.vm,
                    member.address,
                    fencingTerm,
                    spare.name,
                    spare.epoch,
                    model.name(),
                    ImmutableList.of(member.vm.vm()));
        }
    }

    private record ReadyFor(Optional<FabricDomain> domain, ModelVersionName model) {}

    private SecondModelStaging() {}

    /**
     * Returns the spares that could load a model for which few VMs of their domain are ready; models with the fewest
     * ready VMs come first.
     */
    static List<Candidate> candidates(EngineProfile engine, ManagedGroups groups, PlanningContext context) {
        final Multiset<ReadyFor> ready = countReady(engine, groups, context);
        return groups.stream()
                .filter(group -> group.isSpare() && isReady(group, context))
                .flatMap(spare -> candidateFor(spare, engine, ready, context).stream())
                .filter(candidate -> candidate.readyInDomain() <= MAX_READY_IN_DOMAIN)
                .sorted(Comparator.comparingInt(Candidate::readyInDomain)
                        .thenComparingInt(candidate -> -candidate.model().groupSize()))
                .toList();
    }

    private static boolean isReady(ManagedGroup spare, PlanningContext context) {
        return context.report(spare.head())
                .filter(report -> report.group().equals(spare.name) && report.state() == GroupState.READY)
                .isPresent();
    }

    private static Optional<Candidate> candidateFor(
            ManagedGroup spare, EngineProfile engine, Multiset<ReadyFor> ready, PlanningContext context) {
        final Optional<VmHeartbeat> vm = context.record(spare.head()).map(VmRecord::heartbeat);
        if (vm.isEmpty() || hasSecondModel(vm.get(), spare)) {
            return Optional.empty();
        }
        return engine.models().stream()
                .filter(model -> Readiness.of(vm.get(), model) == Readiness.NEEDS_LOAD)
                .map(model -> new Candidate(spare, model, ready.count(new ReadyFor(spare.head().domain, model.name()))))
                .min(Comparator.comparingInt(Candidate::readyInDomain));
    }

    private static boolean hasSecondModel(VmHeartbeat vm, ManagedGroup spare) {
        return vm.stagedModels().stream().anyMatch(model -> !model.equals(spare.model.name()));
    }

    /**
     * Counts, for each domain and model, the VMs that are free or spares and need not load the model from the weight
     * store.
     */
    private static Multiset<ReadyFor> countReady(EngineProfile engine, ManagedGroups groups, PlanningContext context) {
        final Multiset<ReadyFor> ready = HashMultiset.create();
        context.vms().values().stream()
                .filter(vm -> vm.isStaying()
                        && groups.withMember(vm.vm().vm()).stream().allMatch(ManagedGroup::isSpare))
                .forEach(vm -> engine.models().stream()
                        .filter(model -> Readiness.of(vm.heartbeat(), model) != Readiness.NEEDS_LOAD)
                        .forEach(model -> ready.add(new ReadyFor(vm.heartbeat().domain(), model.name()))));
        return ready;
    }
}
