package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.GroupState;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;

/**
 * Chooses the spares whose hosts load the weights of a second model. Such a spare joins groups of its own model at once
 * and groups of the second one after a warm-up, where it would have to load for many seconds otherwise. Stateless.
 */
final class SecondModel {
    /** VMs of a domain that stand by for a model, up to which another one is useful. */
    private static final int FEW_READY = 1;

    /** One spare and the model to load onto its host. Immutable; safe for use from any thread. */
    record Choice(ManagedGroup spare, GroupedModel model, int readyInDomain) {
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

    private SecondModel() {}

    /** Returns the spares that could load a model that few VMs of their domain stand by for; those with none go first. */
    static List<Choice> choices(EngineProfile engine, List<ManagedGroup> groups, GroupSurroundings around) {
        return groups.stream()
                .filter(group -> group.isSpare() && isReady(group, around))
                .flatMap(spare -> choiceFor(spare, engine, groups, around).stream())
                .filter(choice -> choice.readyInDomain() <= FEW_READY)
                .sorted(Comparator.comparingInt(Choice::readyInDomain)
                        .thenComparingInt(choice -> -choice.model().groupSize()))
                .toList();
    }

    private static boolean isReady(ManagedGroup spare, GroupSurroundings around) {
        return around.report(spare.head())
                .filter(report -> report.group().equals(spare.name) && report.state() == GroupState.READY)
                .isPresent();
    }

    private static Optional<Choice> choiceFor(
            ManagedGroup spare, EngineProfile engine, List<ManagedGroup> groups, GroupSurroundings around) {
        final Optional<VmHeartbeat> vm = around.record(spare.head()).map(VmRecord::heartbeat);
        if (vm.isEmpty() || holdsSecond(vm.get(), spare)) {
            return Optional.empty();
        }
        return engine.models().stream()
                .filter(model -> Readiness.of(vm.get(), model) == Readiness.EMPTY)
                .map(model -> new Choice(spare, model, ready(spare.head().domain, model, groups, around)))
                .min(Comparator.comparingInt(Choice::readyInDomain));
    }

    private static boolean holdsSecond(VmHeartbeat vm, ManagedGroup spare) {
        return vm.stagedModels().stream().anyMatch(model -> !model.equals(spare.model.name()));
    }

    /** Returns the VMs of a domain that are in no group that serves and need not load the model. */
    private static int ready(
            Optional<FabricDomain> domain, GroupedModel model, List<ManagedGroup> groups, GroupSurroundings around) {
        return (int) around.vms().values().stream()
                .filter(vm -> vm.isStaying() && vm.heartbeat().domain().equals(domain))
                .filter(vm -> Readiness.of(vm.heartbeat(), model) != Readiness.EMPTY)
                .filter(vm -> groups.stream()
                        .noneMatch(
                                group -> !group.isSpare() && group.has(vm.vm().vm())))
                .count();
    }
}
