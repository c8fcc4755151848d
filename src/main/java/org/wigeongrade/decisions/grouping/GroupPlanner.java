package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.decisions.discovery.GroupReport;
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
 * Plans the groups of one service during one leader term: repairs broken groups, forms missing ones and keeps spares.
 *
 * <p>Invariants: a VM is in at most one managed group. An epoch belongs to one group only, and epochs increase. A VM is
 * used only after a heartbeat in this term, and after an unanswered order only once a newer heartbeat has arrived. A VM
 * that the log holds as a member of a group, under any incarnation, is used only once this leader knows that the head of
 * that group has stopped. A VM that reports no group is used only once no head of a leader that did not record its groups
 * can still wait for it. Time is a parameter. Not thread safe.
 */
public final class GroupPlanner {
    /** Number of epochs reserved for each term; a leader forms far fewer groups. */
    private static final long EPOCHS_PER_TERM = 1_000_000;

    private final long term;
    private final GroupTimings timings;
    private final PlannerListener listener;
    private final ManagedGroups groups = new ManagedGroups();
    private final Map<VmIncarnation, Long> unresponsiveSinceNanos = new HashMap<>();
    private final InheritedGroups inherited;
    private final GroupRecorder recorder = new GroupRecorder();
    private final WeightLoadLimiter loadLimiter = new WeightLoadLimiter();
    private final StagingTracker stagingTracker = new StagingTracker();
    private final ScaleUpPolicy scaleUpPolicy = new ScaleUpPolicy();
    private final CrossDomainGroups crossDomainGroups = new CrossDomainGroups();
    private final ReleaseTimes releaseTimes;
    private final long startedNanos;
    /** For each VM, the end of the group that it was in last and that this leader managed. */
    private final Map<VmName, GroupPhaseChange> latestEnded = new HashMap<>();

    private long nextEpoch;

    /**
     * @param term term of this leader; VMs refuse orders of lower terms
     * @param nowNanos start of this leader's term; a heartbeat received before it may be outdated, because an earlier
     * leader may have used the VM since
     */
    public GroupPlanner(long term, GroupTimings timings, PlannerListener listener, long nowNanos) {
        this.term = term;
        this.timings = timings;
        this.listener = listener;
        this.startedNanos = nowNanos;
        this.inherited = new InheritedGroups(nowNanos);
        this.releaseTimes = new ReleaseTimes(nowNanos, timings.headBrokenAfterNanos());
        this.nextEpoch = term * EPOCHS_PER_TERM + 1;
    }

    /**
     * Runs one planning step.
     *
     * @param vms the latest records of the service's VMs
     * @param observations what entry nodes have observed of the endpoints, by VM
     * @param ledger the service's groups in the log, as of a time at which this leader held its lease
     */
    public GroupPlan plan(
            EngineProfile engine,
            List<VmRecord> vms,
            Map<VmName, EndpointObservation> observations,
            GroupLedger ledger,
            long nowNanos) {
        if (observations.values().stream().anyMatch(seen -> seen.inFlight() > 0)) {
            loadLimiter.recordCallersStarted();
        }
        final ImmutableMap<VmName, VmRecord> byName =
                vms.stream().collect(ImmutableMap.toImmutableMap(vm -> vm.vm().vm(), vm -> vm));
        final ImmutableList.Builder<GroupOrder> orders = ImmutableList.builder();
        final PlanningContext context = new PlanningContext(
                nowNanos, term, timings, lateHeartbeatsCount(vms, nowNanos), byName, observations, ledger, orders::add);
        adopt(engine, vms, ledger, timings.silentNanos(), nowNanos);
        groups.all().forEach(group -> step(group, context));
        removeEnded(nowNanos);
        engine.models()
                .forEach(model ->
                        crossDomainGroups.updateShortage(model, lacksGroups(model, context), context.nowNanos()));
        formMissingGroups(engine, context);
        scaleUp(engine, context);
        keepSpares(engine, context);
        stageSecondModels(engine, context);
        CrossDomainGroups.findReplaceable(groups.all(), freeVms(context, true), context)
                .ifPresent(group -> group.drain("a group within one fabric domain can replace it", context));
        return new GroupPlan(orders.build(), recorder.changes(groups, inherited::hasEnded, ledger, context.nowNanos()));
    }

    /**
     * Returns whether a late heartbeat is a sign that its VM failed. After a change of leader VMs first have to find the
     * new one, and if most heartbeats are late, it is this node that does not receive them.
     */
    private boolean lateHeartbeatsCount(List<VmRecord> vms, long nowNanos) {
        final long late = vms.stream()
                .filter(vm -> vm.isStaying() && vm.sinceHeartbeatNanos(nowNanos) > timings.lateNanos())
                .count();
        return nowNanos - startedNanos > GroupTimings.LEADER_SEARCH_NANOS
                && late <= GroupTimings.MAX_LATE_FRACTION * vms.size();
    }

    /**
     * Adopts the complete, open groups of earlier leaders and leaves the others alone, because heartbeats of some of
     * their VMs may not have arrived yet.
     */
    public void adoptCompleteGroups(EngineProfile engine, List<VmRecord> vms, GroupLedger ledger, long nowNanos) {
        adopt(engine, vms, ledger, Long.MAX_VALUE, nowNanos);
    }

    /** Records the response to an order. */
    public void recordResponse(GroupOrder order, OrderResponse response, long nowNanos) {
        if (!response.isFromLiveVm()) {
            unresponsiveSinceNanos.put(order.vm(), nowNanos);
        }
        groups.find(order.group(), order.epoch()).stream()
                .flatMap(group -> group.members.stream())
                .filter(member -> member.vm.equals(order.vm()))
                .forEach(member -> member.recordResponse(order.kind(), response, nowNanos));
    }

    /** Returns the groups whose heads may be sent requests. */
    public ImmutableList<ServingGroup> serving(EngineProfile engine) {
        return groups.stream()
                .filter(group -> group.phase().isRoutable())
                .map(group -> new ServingGroup(
                        group.name,
                        group.head().vm,
                        group.model.name(),
                        group.spansDomains() ? engine.crossDomainFactor() : 1,
                        group.phase() == GroupPhase.CHECKING))
                .collect(ImmutableList.toImmutableList());
    }

    private void adopt(EngineProfile engine, List<VmRecord> vms, GroupLedger ledger, long maxWaitNanos, long nowNanos) {
        inherited.adopt(engine, vms, ledger, maxWaitNanos, nowNanos).forEach(group -> {
            groups.add(group);
            recordPhaseChange(group);
        });
        for (final VmRecord vm : vms) {
            if (inherited.isInUnadoptedGroup(vm)) {
                final GroupReport report = vm.heartbeat().group().orElseThrow();
                releaseTimes.recordInUnadoptedGroup(vm.vm().vm(), report.group(), report.epoch(), nowNanos);
            } else if (vm.receivedNanos() - startedNanos > 0) {
                releaseTimes.recordHeard(vm, nowNanos);
            } else {
                releaseTimes.recordKnownBefore(vm.vm().vm());
            }
        }
    }

    private void step(ManagedGroup group, PlanningContext context) {
        GroupPhase before;
        do {
            before = group.phase();
            group.step(context);
            if (group.phase() != before) {
                recordPhaseChange(group);
            }
        } while (group.phase() != before && group.phase().isEnding());
    }

    private void recordPhaseChange(ManagedGroup group) {
        listener.onPhaseChange(phaseChange(group));
    }

    private static GroupPhaseChange phaseChange(ManagedGroup group) {
        return new GroupPhaseChange(
                group.name,
                group.model.name(),
                group.phase(),
                group.members.stream().map(member -> member.vm).toList(),
                group.cause(),
                group.endEvidence());
    }

    private void formMissingGroups(EngineProfile engine, PlanningContext context) {
        Optional<GroupedModel> model = modelWithLargestShortage(engine, context);
        while (model.isPresent()) {
            final boolean formed = form(engine, model.get(), context);
            model = formed ? modelWithLargestShortage(engine, context) : Optional.empty();
        }
    }

    /**
     * Forms one more group for each model whose groups are almost fully used, from VMs that already have the weights.
     */
    private void scaleUp(EngineProfile engine, PlanningContext context) {
        for (final GroupedModel model : engine.models()) {
            final Optional<MemberSelection> selection =
                    scaleUpPolicy.shouldAddGroup(engine, model, groups.all(), context)
                            ? MemberSelection.withinDomain(
                                            freeVms(context, true),
                                            model,
                                            domain -> countGroupsInDomain(domain, model, context))
                                    .filter(found -> found.storeLoads() == 0)
                            : Optional.empty();
            selection.ifPresent(found -> {
                scaleUpPolicy.recordAddedGroup(context.nowNanos());
                form(model, found, context);
            });
        }
    }

    /** Returns the model with the lowest ratio of groups to target count among those that can get another group now. */
    private Optional<GroupedModel> modelWithLargestShortage(EngineProfile engine, PlanningContext context) {
        return engine.models().stream()
                .filter(model -> lacksGroups(model, context))
                .filter(model -> selectMembers(engine, model, context).isPresent())
                .min(Comparator.comparingDouble(
                        model -> (double) countGroups(model, context) / targetCount(model, context)));
    }

    private boolean lacksGroups(GroupedModel model, PlanningContext context) {
        return countGroups(model, context) < targetCount(model, context);
    }

    private int targetCount(GroupedModel model, PlanningContext context) {
        return TargetGroupCount.of(model, usableVms(context).size());
    }

    private boolean form(EngineProfile engine, GroupedModel model, PlanningContext context) {
        final Optional<MemberSelection> selection = selectMembers(engine, model, context);
        selection.ifPresent(found -> form(model, found, context));
        return selection.isPresent();
    }

    private void form(GroupedModel model, MemberSelection selection, PlanningContext context) {
        selection
                .members()
                .forEach(member -> groups.withMember(member.vm().vm()).stream()
                        .filter(ManagedGroup::isSpare)
                        .forEach(group -> group.endSpare(context.nowNanos())));
        removeEnded(context.nowNanos());
        start(GroupPhase.FORMING, model, selection.members(), context);
        loadLimiter.recordStarted(selection.storeLoads(), context.nowNanos());
    }

    private Optional<MemberSelection> selectMembers(EngineProfile engine, GroupedModel model, PlanningContext context) {
        final List<VmHeartbeat> free = freeVms(context, true);
        final Optional<MemberSelection> withinDomain =
                MemberSelection.withinDomain(free, model, domain -> countGroupsInDomain(domain, model, context));
        final boolean needsLoad = withinDomain.isEmpty() || withinDomain.get().storeLoads() > 0;
        final Optional<MemberSelection> acrossDomains = needsLoad
                ? crossDomainGroups.selectMembers(
                        model,
                        free,
                        groups.all(),
                        countGroups(model, context),
                        targetCount(model, context),
                        context.nowNanos())
                : Optional.empty();
        return acrossDomains.or(() -> withinDomain
                .filter(selection -> selection.storeLoads() == 0 || !loadLimiter.haveCallersStarted())
                .filter(selection -> loadLimiter.allows(
                        selection.storeLoads(),
                        runningLoads(context),
                        engine.loadsPerSecond(),
                        engine.maxConcurrentLoads(),
                        context.nowNanos())));
    }

    private void keepSpares(EngineProfile engine, PlanningContext context) {
        final boolean groupsHavePriority = groupsWaitForLoads(engine, context);
        int runningLoads = runningLoads(context);
        for (final VmHeartbeat vm : freeVms(context, false)) {
            final Optional<GroupedModel> model = SpareModelSelector.selectModel(vm, engine, groups.all(), context)
                    .filter(wanted -> !groupsHavePriority || Readiness.of(vm, wanted) != Readiness.NEEDS_LOAD);
            final int loads = model.filter(wanted -> Readiness.of(vm, wanted) == Readiness.NEEDS_LOAD)
                            .isPresent()
                    ? 1
                    : 0;
            final boolean allowed = model.isPresent()
                    && loadLimiter.allows(
                            loads,
                            runningLoads,
                            engine.loadsPerSecond(),
                            engine.maxConcurrentLoads(),
                            context.nowNanos());
            if (allowed) {
                loadLimiter.recordStarted(loads, context.nowNanos());
                runningLoads += loads;
                start(GroupPhase.SPARE, model.get(), ImmutableList.of(vm), context);
            }
        }
    }

    /**
     * Returns whether missing groups wait until the limit on loads lets them load weights. Spares must not load then,
     * because their loads would use up the limit.
     */
    private boolean groupsWaitForLoads(EngineProfile engine, PlanningContext context) {
        final List<VmHeartbeat> free = freeVms(context, true);
        return !loadLimiter.haveCallersStarted()
                && engine.models().stream()
                        .filter(model -> lacksGroups(model, context))
                        .anyMatch(model -> MemberSelection.withinDomain(free, model, domain -> 0)
                                .isPresent());
    }

    /** Orders spares to load the weights of a second model onto their hosts, so that they can serve either model. */
    private void stageSecondModels(EngineProfile engine, PlanningContext context) {
        stagingTracker.removeFinished(context);
        for (final SecondModelStaging.Candidate candidate : SecondModelStaging.candidates(engine, groups, context)) {
            final boolean allowed = stagingTracker.runningCount() < GroupTimings.MAX_CONCURRENT_SECOND_LOADS
                    && stagingTracker.canBegin(candidate.spare(), context.nowNanos())
                    && loadLimiter.allows(
                            1,
                            runningLoads(context),
                            engine.loadsPerSecond(),
                            engine.maxConcurrentLoads(),
                            context.nowNanos());
            if (allowed) {
                loadLimiter.recordStarted(1, context.nowNanos());
                stagingTracker.recordBegun(candidate, context.nowNanos());
                context.orders().accept(candidate.order(context.fencingTerm()));
            }
        }
    }

    private void start(GroupPhase phase, GroupedModel model, List<VmHeartbeat> vms, PlanningContext context) {
        final long epoch = nextEpoch++;
        final String prefix = phase == GroupPhase.SPARE ? InheritedGroups.SPARE_PREFIX : InheritedGroups.GROUP_PREFIX;
        inherited.recordOwned(GroupName.of(prefix + epoch), epoch);
        final ManagedGroup group = new ManagedGroup(
                GroupName.of(prefix + epoch),
                epoch,
                model,
                vms.stream().map(GroupMember::new).toList(),
                phase,
                false,
                false,
                context.nowNanos());
        reportTaken(group, context);
        groups.add(group);
        recordPhaseChange(group);
        group.step(context);
    }

    private void reportTaken(ManagedGroup group, PlanningContext context) {
        group.members.stream()
                .flatMap(member -> context.record(member).stream())
                .forEach(vm -> listener.onVmTaken(
                        vm.vm(),
                        group.name,
                        releaseTimes.freedomOf(vm, context.nowNanos()).orElse(VmFreedom.KEPT_SPARE),
                        Optional.ofNullable(latestEnded.get(vm.vm().vm()))));
    }

    private void removeEnded(long nowNanos) {
        groups.removeEnded().forEach(group -> {
            inherited.recordEnded(group.name, group.epoch, nowNanos);
            final GroupPhaseChange ended = phaseChange(group);
            group.members.forEach(member -> {
                releaseTimes.recordGroupEnded(member.vm.vm(), group.name, group.epoch, nowNanos);
                latestEnded.put(member.vm.vm(), ended);
            });
        });
    }

    private int countGroups(GroupedModel model, PlanningContext context) {
        final long managed = groups.stream()
                .filter(group -> group.phase().isServingOrStarting()
                        && group.model.name().equals(model.name()))
                .count();
        return (int) managed
                + inherited.countPending(
                        model.name(),
                        ImmutableList.copyOf(context.vms().values()),
                        timings.silentNanos(),
                        context.nowNanos());
    }

    private int countGroupsInDomain(FabricDomain domain, GroupedModel model, PlanningContext context) {
        return (int) groups.stream()
                .filter(group -> group.phase().isServingOrStarting()
                        && group.model.name().equals(model.name()))
                .filter(group -> context.record(group.head())
                        .flatMap(head -> head.heartbeat().domain())
                        .filter(domain::equals)
                        .isPresent())
                .count();
    }

    /**
     * Returns the number of running loads: of second models, and of joining members that do not have the weights yet.
     */
    private int runningLoads(PlanningContext context) {
        return stagingTracker.runningCount()
                + (int) groups.stream()
                        .filter(group -> group.phase() == GroupPhase.FORMING || group.isSpare())
                        .flatMap(group -> group.members.stream()
                                .filter(member -> context.record(member)
                                        .filter(vm -> isLoading(vm.heartbeat(), group.model.name()))
                                        .isPresent()))
                        .count();
    }

    private static boolean isLoading(VmHeartbeat vm, ModelVersionName model) {
        return !vm.stagedModels().contains(model)
                && vm.loadedModel().filter(model::equals).isEmpty();
    }

    private List<VmRecord> usableVms(PlanningContext context) {
        return context.vms().values().stream()
                .filter(vm -> vm.isStaying() && vm.sinceHeartbeatNanos(context.nowNanos()) <= timings.silentNanos())
                .toList();
    }

    private List<VmHeartbeat> freeVms(PlanningContext context, boolean withSpares) {
        return usableVms(context).stream()
                .filter(vm -> !groups.isInUse(vm, !withSpares))
                .filter(vm -> vm.receivedNanos() - startedNanos > 0
                        && sentHeartbeatSinceUnresponsive(vm)
                        && releaseTimes.freedomOf(vm, context.nowNanos()).isPresent()
                        && !inherited.isInUnadoptedGroup(vm)
                        && context.ledger().groupsOf(vm.vm().vm()).stream()
                                .allMatch(group -> context.ledger().isOfService(group) && inherited.hasEnded(group)))
                .map(VmRecord::heartbeat)
                .toList();
    }

    private boolean sentHeartbeatSinceUnresponsive(VmRecord vm) {
        final Long sinceNanos = unresponsiveSinceNanos.get(vm.vm());
        return sinceNanos == null || vm.receivedNanos() - sinceNanos > 0;
    }
}
