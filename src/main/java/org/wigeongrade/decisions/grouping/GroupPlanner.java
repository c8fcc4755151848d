package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRecord;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * Plans the groups of one service for one term of leadership: repairs what broke, forms what is missing, keeps spares.
 *
 * <p>Invariants: a VM is in one managed group at most; an epoch is used for one group only and grows; a VM is not used before
 * it was heard from in this term, and since it did not answer. Time is a parameter. Not thread safe.
 */
public final class GroupPlanner {
    /** Epochs of one term; a leader forms far fewer groups. */
    private static final long EPOCHS_PER_TERM = 1_000_000;

    private final long term;
    private final GroupTimings timings;
    private final Consumer<GroupChange> changes;
    private final List<ManagedGroup> groups = new ArrayList<>();
    private final Map<VmIncarnation, Long> unresponsiveSinceNanos = new HashMap<>();
    private final InheritedGroups inherited = new InheritedGroups();
    private final LoadCeiling loadCeiling = new LoadCeiling();
    private final RunningStages staging = new RunningStages();
    private final Demand demand = new Demand();
    private final FarGroups farGroups = new FarGroups();
    private final long startedNanos;
    private long nextEpoch;

    /**
     * @param term of this leader; orders of lower terms are refused by the VMs
     * @param changes takes a record of each group that changed its phase
     * @param nowNanos when this leader's term began; an earlier leader may have used a VM after its last report before that
     */
    public GroupPlanner(long term, GroupTimings timings, Consumer<GroupChange> changes, long nowNanos) {
        this.term = term;
        this.timings = timings;
        this.changes = changes;
        this.startedNanos = nowNanos;
        this.nextEpoch = term * EPOCHS_PER_TERM + 1;
    }

    /**
     * Makes the next step and returns the orders to give now.
     *
     * @param vms the latest records of the service's VMs
     * @param evidence what entry VMs saw of endpoints, by VM
     */
    public ImmutableList<GroupOrder> plan(
            EngineProfile engine, List<VmRecord> vms, Map<VmName, EndpointEvidence> evidence, long nowNanos) {
        if (evidence.values().stream().anyMatch(seen -> seen.inFlight() > 0)) {
            loadCeiling.callersSeen();
        }
        final ImmutableMap<VmName, VmRecord> byName =
                vms.stream().collect(ImmutableMap.toImmutableMap(vm -> vm.vm().vm(), vm -> vm));
        final ImmutableList.Builder<GroupOrder> orders = ImmutableList.builder();
        final GroupSurroundings around = new GroupSurroundings(nowNanos, term, timings, byName, evidence, orders::add);
        adopt(engine, vms, timings.silentNanos(), nowNanos);
        groups.forEach(group -> step(group, around));
        removeEnded(nowNanos);
        engine.models().forEach(model -> farGroups.noteLacking(model, lacksGroups(model, around), around.nowNanos()));
        formMissing(engine, around);
        addForDemand(engine, around);
        keepSpares(engine, around);
        stageSecondModels(engine, around);
        FarGroups.replaceable(groups, free(around, true), around)
                .ifPresent(group -> group.drain("a group inside one fabric domain can take its place", around));
        return orders.build();
    }

    /** Takes over the whole groups of earlier leaders and does nothing else, while VMs may not have been heard of yet. */
    public void takeOver(EngineProfile engine, List<VmRecord> vms, long nowNanos) {
        adopt(engine, vms, Long.MAX_VALUE, nowNanos);
    }

    /** Takes what came back for an order. */
    public void answered(GroupOrder order, OrderAnswer answer, long nowNanos) {
        if (!answer.showsLife()) {
            unresponsiveSinceNanos.put(order.vm(), nowNanos);
        }
        groups.stream()
                .filter(group -> group.name.equals(order.group()) && group.epoch == order.epoch())
                .flatMap(group -> group.members.stream())
                .filter(member -> member.vm.equals(order.vm()))
                .forEach(member -> member.answered(order.kind(), answer, nowNanos));
    }

    /** Returns the groups whose heads may be sent requests. */
    public ImmutableList<ServingGroup> serving(EngineProfile engine) {
        return groups.stream()
                .filter(group -> group.phase().isRoutable())
                .map(group -> new ServingGroup(
                        group.name,
                        group.head().vm,
                        group.model.name(),
                        group.spansDomains() ? engine.farFactor() : 1,
                        group.phase() == GroupPhase.CHECKING))
                .collect(ImmutableList.toImmutableList());
    }

    private void adopt(EngineProfile engine, List<VmRecord> vms, long patienceNanos, long nowNanos) {
        inherited.adopt(engine, vms, patienceNanos, nowNanos).forEach(group -> {
            groups.add(group);
            note(group);
        });
    }

    private void step(ManagedGroup group, GroupSurroundings around) {
        final GroupPhase before = group.phase();
        group.step(around);
        if (group.phase() != before) {
            note(group);
        }
    }

    private void note(ManagedGroup group) {
        changes.accept(new GroupChange(
                group.name,
                group.model.name(),
                group.phase(),
                group.members.stream().map(member -> member.vm).toList(),
                group.cause()));
    }

    private void formMissing(EngineProfile engine, GroupSurroundings around) {
        Optional<GroupedModel> model = mostWanted(engine, around);
        while (model.isPresent()) {
            final boolean formed = form(engine, model.get(), around);
            model = formed ? mostWanted(engine, around) : Optional.empty();
        }
    }

    /** Forms one more group of spares that hold the weights for a model whose groups are nearly full. */
    private void addForDemand(EngineProfile engine, GroupSurroundings around) {
        for (final GroupedModel model : engine.models()) {
            final Optional<FormationChoice> choice = demand.wantsMore(engine, model, groups, around)
                    ? FormationChoice.within(free(around, true), model, domain -> countIn(domain, model, around))
                            .filter(found -> found.loads() == 0)
                    : Optional.empty();
            choice.ifPresent(found -> {
                demand.added(around.nowNanos());
                form(model, found, around);
            });
        }
    }

    /** Returns the model that lacks the largest part of its wanted groups and can be given one. */
    private Optional<GroupedModel> mostWanted(EngineProfile engine, GroupSurroundings around) {
        return engine.models().stream()
                .filter(model -> lacksGroups(model, around))
                .filter(model -> choose(engine, model, around).isPresent())
                .min(Comparator.comparingDouble(model -> (double) count(model, around) / wanted(model, around)));
    }

    private boolean lacksGroups(GroupedModel model, GroupSurroundings around) {
        return count(model, around) < wanted(model, around);
    }

    private int wanted(GroupedModel model, GroupSurroundings around) {
        return WantedGroups.of(model, usable(around).size());
    }

    private boolean form(EngineProfile engine, GroupedModel model, GroupSurroundings around) {
        final Optional<FormationChoice> choice = choose(engine, model, around);
        choice.ifPresent(found -> form(model, found, around));
        return choice.isPresent();
    }

    private void form(GroupedModel model, FormationChoice choice, GroupSurroundings around) {
        choice.members()
                .forEach(member -> groups.stream()
                        .filter(group ->
                                group.isSpare() && group.has(member.vm().vm()))
                        .forEach(group -> group.endSpare(around.nowNanos())));
        removeEnded(around.nowNanos());
        start(GroupPhase.FORMING, model, choice.members(), around);
        loadCeiling.started(choice.loads(), around.nowNanos());
    }

    private Optional<FormationChoice> choose(EngineProfile engine, GroupedModel model, GroupSurroundings around) {
        final List<VmHeartbeat> free = free(around, true);
        final Optional<FormationChoice> within =
                FormationChoice.within(free, model, domain -> countIn(domain, model, around));
        final boolean needsLoad = within.isEmpty() || within.get().loads() > 0;
        final Optional<FormationChoice> across = needsLoad
                ? farGroups.choose(model, free, groups, count(model, around), wanted(model, around), around.nowNanos())
                : Optional.empty();
        return across.or(() -> within.filter(choice -> choice.loads() == 0 || !loadCeiling.haveCallersBeenSeen())
                .filter(choice -> loadCeiling.allows(
                        choice.loads(),
                        runningLoads(around),
                        engine.loadsPerSecond(),
                        engine.loadsAtOnce(),
                        around.nowNanos())));
    }

    private void keepSpares(EngineProfile engine, GroupSurroundings around) {
        final boolean groupsLoadFirst = groupsWaitForLoads(engine, around);
        for (final VmHeartbeat vm : free(around, false)) {
            final Optional<GroupedModel> model = SpareChoice.modelFor(vm, engine, groups, around)
                    .filter(wanted -> !groupsLoadFirst || Readiness.of(vm, wanted) != Readiness.EMPTY);
            final boolean allowed = model.filter(wanted -> loadCeiling.allows(
                            Readiness.of(vm, wanted) == Readiness.EMPTY ? 1 : 0,
                            runningLoads(around),
                            engine.loadsPerSecond(),
                            engine.loadsAtOnce(),
                            around.nowNanos()))
                    .isPresent();
            if (allowed) {
                loadCeiling.started(Readiness.of(vm, model.get()) == Readiness.EMPTY ? 1 : 0, around.nowNanos());
                start(GroupPhase.SPARE, model.get(), ImmutableList.of(vm), around);
            }
        }
    }

    /** Returns whether groups are missing whose VMs wait for room to load; a spare would take a part of that room. */
    private boolean groupsWaitForLoads(EngineProfile engine, GroupSurroundings around) {
        final List<VmHeartbeat> free = free(around, true);
        return !loadCeiling.haveCallersBeenSeen()
                && engine.models().stream()
                        .filter(model -> lacksGroups(model, around))
                        .anyMatch(model ->
                                FormationChoice.within(free, model, domain -> 0).isPresent());
    }

    /** Lets spares load the weights of a second model onto their hosts, so that they can stand in for either one. */
    private void stageSecondModels(EngineProfile engine, GroupSurroundings around) {
        staging.forgetDone(around);
        for (final SecondModel.Choice choice : SecondModel.choices(engine, groups, around)) {
            final boolean allowed = staging.running() < GroupTimings.SECOND_LOADS_AT_ONCE
                    && staging.mayBegin(choice.spare(), around.nowNanos())
                    && loadCeiling.allows(
                            1, runningLoads(around), engine.loadsPerSecond(), engine.loadsAtOnce(), around.nowNanos());
            if (allowed) {
                loadCeiling.started(1, around.nowNanos());
                staging.begun(choice, around.nowNanos());
                around.orders().accept(choice.order(around.fencingTerm()));
            }
        }
    }

    private void start(GroupPhase phase, GroupedModel model, List<VmHeartbeat> vms, GroupSurroundings around) {
        final long epoch = nextEpoch++;
        final String prefix = phase == GroupPhase.SPARE ? InheritedGroups.SPARE_PREFIX : InheritedGroups.GROUP_PREFIX;
        inherited.own(GroupName.of(prefix + epoch), epoch);
        final ManagedGroup group = new ManagedGroup(
                GroupName.of(prefix + epoch),
                epoch,
                model,
                vms.stream().map(GroupMember::new).toList(),
                phase,
                false,
                around.nowNanos());
        groups.add(group);
        note(group);
        group.step(around);
    }

    private void removeEnded(long nowNanos) {
        groups.stream()
                .filter(group -> group.phase() == GroupPhase.ENDED)
                .forEach(group -> inherited.ended(group.name, group.epoch, nowNanos));
        groups.removeIf(group -> group.phase() == GroupPhase.ENDED);
    }

    private int count(GroupedModel model, GroupSurroundings around) {
        final long managed = groups.stream()
                .filter(group -> group.phase().counts() && group.model.name().equals(model.name()))
                .count();
        return (int) managed
                + inherited.pending(
                        model.name(),
                        ImmutableList.copyOf(around.vms().values()),
                        timings.silentNanos(),
                        around.nowNanos());
    }

    private int countIn(FabricDomain domain, GroupedModel model, GroupSurroundings around) {
        return (int) groups.stream()
                .filter(group -> group.phase().counts() && group.model.name().equals(model.name()))
                .filter(group -> around.record(group.head())
                        .flatMap(head -> head.heartbeat().domain())
                        .filter(domain::equals)
                        .isPresent())
                .count();
    }

    /** Returns members that were told to join a model whose weights they do not hold yet. */
    private int runningLoads(GroupSurroundings around) {
        return staging.running()
                + (int) groups.stream()
                        .filter(group -> group.phase() == GroupPhase.FORMING || group.isSpare())
                        .flatMap(group -> group.members.stream()
                                .filter(member -> around.record(member)
                                        .filter(vm -> isLoading(vm.heartbeat(), group.model.name()))
                                        .isPresent()))
                        .count();
    }

    private static boolean isLoading(VmHeartbeat vm, ModelVersionName model) {
        return !vm.stagedModels().contains(model)
                && vm.loadedModel().filter(model::equals).isEmpty();
    }

    private List<VmRecord> usable(GroupSurroundings around) {
        return around.vms().values().stream()
                .filter(vm -> vm.isStaying() && vm.silentNanos(around.nowNanos()) <= timings.silentNanos())
                .toList();
    }

    private List<VmHeartbeat> free(GroupSurroundings around, boolean withSpares) {
        return usable(around).stream()
                .filter(vm -> groups.stream()
                        .noneMatch(group -> !(withSpares && group.isSpare())
                                && (group.has(vm.vm().vm()) || isReportedBy(vm, group))))
                .filter(vm -> vm.heardNanos() - startedNanos > 0 && heardSinceUnresponsive(vm) && !inherited.isIn(vm))
                .map(VmRecord::heartbeat)
                .toList();
    }

    /** Returns whether the VM says that it is in the group, which may have been taken over before the VM was heard of. */
    private static boolean isReportedBy(VmRecord vm, ManagedGroup group) {
        return vm.heartbeat()
                .group()
                .filter(report -> report.group().equals(group.name) && report.epoch() == group.epoch)
                .isPresent();
    }

    private boolean heardSinceUnresponsive(VmRecord vm) {
        final Long sinceNanos = unresponsiveSinceNanos.get(vm.vm());
        return sinceNanos == null || vm.heardNanos() - sinceNanos > 0;
    }
}
