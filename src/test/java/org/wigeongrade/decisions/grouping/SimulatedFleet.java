package org.wigeongrade.decisions.grouping;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.clock.NodeClocks;
import org.wigeongrade.decisions.discovery.IdentityConflict;
import org.wigeongrade.decisions.discovery.IdentityResponse;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * Simulates engine VMs and the leaders that form groups of them, in virtual time.
 *
 * <p>Records violations of two invariants: no group starts to serve before every member has been ready in it, and no VM
 * joins another group while the head of the group that it joined last may still serve, even if it has left or restarted.
 * Not thread safe.
 */
final class SimulatedFleet {
    static final long HEARTBEAT_MS = 1_200;
    static final long STEP_MS = 50;
    static final GroupedModel LARGE = new GroupedModel(ModelVersionName.of("large"), 4, 0.67, 1, 16_000, 1_600);
    static final GroupedModel SMALL = new GroupedModel(ModelVersionName.of("small"), 2, 0.33, 0.6, 12_000, 1_100);
    static final EngineProfile ENGINE = new EngineProfile(
            18, 5, ImmutableList.of(LARGE, SMALL), 6.07, 0.35, 0.007, 46_000, 0.7, 2_048, 4, 6, 300, 2.5);
    private static final GroupTimings TIMINGS = new GroupTimings(nanos(HEARTBEAT_MS), nanos(SimulatedVm.STALL_MS));
    static final ServiceName POOL = ServiceName.of("pool");
    private static final long COMMIT_MS = 10;
    private static final int FIRST_PORT = 1_000;
    private static final int MAX_CONFLICTS = 100;
    private static final long ROUND_TRIP_MS = 10;
    private static final long ORDER_TIMEOUT_MS = 450;
    private static final long PROBE_TIMEOUT_MS = 250;
    /** One request in flight at an endpoint that belongs to no group; it shows the leader that callers are active. */
    private static final ImmutableMap<VmName, EndpointObservation> ONE_REQUEST =
            ImmutableMap.of(VmName.of("plain"), new EndpointObservation(1, 0, 0, false));

    private record ReceivedHeartbeat(long atMs, VmHeartbeat heartbeat) {}

    /** A VM that was taken for a group, and the evidence that it was free and that its latest group had ended. */
    record VmTaken(VmIncarnation vm, VmFreedom freedom, Optional<GroupEndEvidence> endedGroup) {}

    private record Event(long atMs, long sequence, Runnable action) {}

    final List<SimulatedVm> vms = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final List<GroupPhaseChange> changes = new ArrayList<>();
    /** For each VM that was taken, on which evidence it was free. */
    final List<VmTaken> taken = new ArrayList<>();

    private final PlannerListener listener = new PlannerListener() {
        @Override
        public void onPhaseChange(GroupPhaseChange change) {
            changes.add(change);
        }

        @Override
        public void onVmTaken(
                VmIncarnation vm, GroupName group, VmFreedom freedom, Optional<GroupPhaseChange> endedGroup) {
            taken.add(new VmTaken(vm, freedom, endedGroup.flatMap(GroupPhaseChange::evidence)));
        }
    };
    private final List<ReceivedHeartbeat> receivedHeartbeats = new ArrayList<>();
    final Random random;
    /** Whether the log takes what leaders propose. */
    boolean commits = true;

    /** Fraction of orders that get no response and are carried out 2 to 12 s later. */
    double lateOrderFraction;

    /** Number of joins that had to load weights from the store. */
    int loads;

    /** Number of loads of second models onto hosts. */
    int stagingLoads;

    private final Map<GroupName, Set<VmName>> everReady = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private VmRegistry registry = new VmRegistry();
    /** The replicated log's state, which outlives every leader. */
    final PublishedStateMachine published = new PublishedStateMachine();

    private GroupPlanner planner;
    private boolean callersActive;
    /** Whether each open group has a request, so that entry nodes see whether the group makes progress. */
    private boolean everyGroupBusy;

    /** The model whose groups are full of requests, if any. */
    private Optional<GroupedModel> saturatedModel = Optional.empty();

    /** Time at which a VM refused callers' connections. */
    private final Map<VmName, Long> refusedSinceMs = new HashMap<>();

    private long term;
    private long nowMs;
    /** Sum of the steps of the time of day on the leader's VM. */
    private long steppedMs;
    /** Time for which the leader's VM was suspended so far, and until when it is. */
    private long suspendedMs;

    private long suspendedUntilMs;
    private final NodeClocks leaderClocks =
            NodeClocks.of(() -> nanos(nowMs - suspendedMs), () -> nanos(nowMs + steppedMs));
    /** Time after which the leader plans; it first waits for a heartbeat of each VM. */
    private long planAfterMs = 2 * HEARTBEAT_MS;

    private long sequence;

    SimulatedFleet(int domains, int vmsInDomain, long seed) {
        this(domains, vmsInDomain, seed, CommandFormat.LATEST);
    }

    SimulatedFleet(int domains, int vmsInDomain, long seed, int commandFormat) {
        this.random = new Random(seed);
        useCommandFormat(commandFormat);
        for (int domain = 0; domain < domains; domain++) {
            for (int vm = 0; vm < vmsInDomain; vm++) {
                add("vm-" + domain + "-" + vm, "domain-" + domain);
            }
        }
        newLeader();
    }

    SimulatedVm add(String name, String domain) {
        return add(name, domain, "10.0.0.1:" + (FIRST_PORT + vms.size()));
    }

    private SimulatedVm add(String name, String domain, String address) {
        final SimulatedVm vm = new SimulatedVm(this, name, domain, address, nowMs + 1);
        vms.add(vm);
        return vm;
    }

    /** Lets the log hold the commands of a format, as once all control VMs run a build that supports it. */
    void useCommandFormat(int commandFormat) {
        published.apply(new PublishedCommand.UseFormat(commandFormat).encode());
    }

    /** Replaces the leader by one that knows all heartbeats but not the groups that the earlier leader planned. */
    void newLeader() {
        term++;
        planner = new GroupPlanner(term, TIMINGS, listener, leaderNanos());
    }

    /** Restarts all control VMs: the new leader knows no VM until its next heartbeat. */
    void restartControl() {
        registry = new VmRegistry();
        newLeader();
        planAfterMs = nowMs + 2 * HEARTBEAT_MS;
    }

    /** Replaces the leader by one that has not received the heartbeats of the last {@code lagMs}. */
    void newLeaderWithStaleHeartbeats(long lagMs) {
        registry = new VmRegistry();
        receivedHeartbeats.stream()
                .filter(heartbeat -> heartbeat.atMs() <= nowMs - lagMs)
                .forEach(heartbeat -> registry.recordHeartbeat(heartbeat.heartbeat(), nanos(heartbeat.atMs())));
        newLeader();
    }

    /** Sets the time of day on the leader's VM forward, or back if negative. */
    void stepTimeOfDay(long byMs) {
        steppedMs += byMs;
    }

    /** Suspends the leader's VM, whose monotonic clock then stands still. */
    void suspendLeader(long forMs) {
        suspendedMs += forMs;
        suspendedUntilMs = nowMs + forMs;
    }

    private long leaderNanos() {
        return leaderClocks.waitClock().nowNanos();
    }

    void run(long forMs) {
        final long endMs = nowMs + forMs;
        while (nowMs < endMs) {
            nowMs += STEP_MS;
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
            final boolean leaderRuns = nowMs >= suspendedUntilMs;
            vms.forEach(vm -> vm.tick().ifPresent(heartbeat -> {
                receivedHeartbeats.add(new ReceivedHeartbeat(nowMs, heartbeat));
                if (leaderRuns) {
                    registry.recordHeartbeat(heartbeat, leaderNanos());
                }
            }));
            if (leaderRuns) {
                investigate();
            }
            if (leaderRuns && nowMs > planAfterMs) {
                plan();
            }
        }
    }

    /** Asks the processes at the addresses about contested heartbeats, as the leader does. */
    private void investigate() {
        final VmRegistry asking = registry;
        for (final IdentityConflict conflict : registry.takeDueConflicts(MAX_CONFLICTS, leaderNanos())) {
            final IdentityResponse own = identityAt(conflict.heartbeat().address());
            final Optional<IdentityResponse> elsewhere = conflict.rivalElsewhere()
                    .map(rival -> identityAt(rival.heartbeat().address()));
            final boolean answered = own.kind() != IdentityResponse.Kind.NONE;
            schedule(
                    answered ? ROUND_TRIP_MS : PROBE_TIMEOUT_MS,
                    () -> asking.settle(
                            conflict, conflict.judge(own, elsewhere, true), TIMINGS.silentNanos(), leaderNanos()));
        }
    }

    /** Engines state their start, but not their name. */
    private IdentityResponse identityAt(String address) {
        return vms.stream()
                .filter(vm -> vm.address.equals(address) && !vm.ended)
                .filter(vm -> !vm.partitioned && !vm.silent && !vm.refusesConnections)
                .findFirst()
                .map(vm -> IdentityResponse.engine(OptionalLong.of(vm.incarnation.incarnation()), OptionalLong.empty()))
                .orElse(IdentityResponse.NONE);
    }

    private void plan() {
        final GroupPlanner leader = planner;
        final GroupPlan plan = leader.plan(
                ENGINE,
                registry.records(leaderNanos()),
                observations(),
                GroupLedger.of(published.state(), POOL),
                leaderNanos());
        if (commits) {
            plan.commands().forEach(command -> schedule(COMMIT_MS, () -> published.apply(command.encode())));
        }
        plan.orders().forEach(order -> deliver(leader, order));
    }

    private Map<VmName, EndpointObservation> observations() {
        if (!everyGroupBusy) {
            return callersActive ? ONE_REQUEST : ImmutableMap.of();
        }
        return vms.stream()
                .filter(vm -> vm.mayServe() || refusedSinceMs.containsKey(vm.incarnation.vm()))
                .collect(ImmutableMap.toImmutableMap(head -> head.incarnation.vm(), head -> {
                    final boolean refuses = refusedSinceMs.containsKey(head.incarnation.vm());
                    final long progressedMs =
                            refuses ? refusedSinceMs.get(head.incarnation.vm()) : nowMs - head.stalledMs();
                    return new EndpointObservation(
                            requestsAt(head), nowMs - progressedMs, nanos(progressedMs - suspendedMs), refuses);
                }));
    }

    private int requestsAt(SimulatedVm head) {
        return saturatedModel
                .filter(model -> model.name().equals(head.lastModel))
                .map(model -> ENGINE.slots())
                .orElse(1);
    }

    private void deliver(GroupPlanner leader, GroupOrder order) {
        final Optional<SimulatedVm> addressed =
                vms.stream().filter(each -> each.incarnation.equals(order.vm())).findFirst();
        if (addressed.isEmpty()) {
            // Another writer's VM.
            schedule(timeoutMs(order), () -> leader.recordResponse(order, OrderResponse.NONE, leaderNanos()));
            return;
        }
        final SimulatedVm vm = addressed.get();
        if (vm.ended && identityAt(vm.address).kind() != IdentityResponse.Kind.NONE) {
            schedule(ROUND_TRIP_MS, () -> leader.recordResponse(order, OrderResponse.ENDED, leaderNanos()));
            return;
        }
        final boolean late = random.nextDouble() < lateOrderFraction;
        if (late) {
            schedule(2_000 + random.nextInt(10_000), () -> executeIfReachable(vm, order));
        }
        if (late || vm.partitioned || vm.silent || vm.ended) {
            schedule(timeoutMs(order), () -> leader.recordResponse(order, OrderResponse.NONE, leaderNanos()));
            return;
        }
        schedule(5, () -> {
            final OrderResponse response = vm.ended ? OrderResponse.NONE : vm.receive(order);
            schedule(5, () -> leader.recordResponse(order, response, leaderNanos()));
        });
    }

    private static long timeoutMs(GroupOrder order) {
        return order.kind() == GroupOrderKind.PROBE ? PROBE_TIMEOUT_MS : ORDER_TIMEOUT_MS;
    }

    private static void executeIfReachable(SimulatedVm vm, GroupOrder order) {
        if (!vm.ended && !vm.partitioned && !vm.silent) {
            vm.execute(order);
        }
    }

    /** Lets callers send requests from now on, so that loads take their full time. */
    void startCallers() {
        callersActive = true;
    }

    /** Keeps a request at every open group from now on and reports its progress to the leader. */
    void keepEveryGroupBusy() {
        callersActive = true;
        everyGroupBusy = true;
    }

    /** Fills all slots of one model's groups with requests. */
    void saturate(GroupedModel model) {
        keepEveryGroupBusy();
        saturatedModel = Optional.of(model);
    }

    /** Reports to the leader that a VM refuses callers' connections. */
    void refuseConnectionsAt(SimulatedVm vm) {
        refusedSinceMs.put(vm.incarnation.vm(), nowMs);
    }

    /** Ends every VM of the given domains; each restarts under another name, with the weights that its host keeps. */
    void restartDomains(Set<String> domains, long downMs, long spreadMs) {
        final List<SimulatedVm> lost = vms.stream()
                .filter(vm -> !vm.ended && domains.contains(vm.domain.value()))
                .toList();
        for (final SimulatedVm vm : lost) {
            vm.ended = true;
            schedule(
                    downMs + random.nextInt((int) spreadMs),
                    () -> add(vm.incarnation.vm().value() + "-again", vm.domain.value())
                            .staged
                            .addAll(vm.staged));
        }
    }

    /** Ends members of one group, one after the other, with time to repair the group in between. */
    void loseMembers(GroupedModel model, int count) {
        final FabricDomain domain = vms.stream()
                .filter(vm -> vm.mayServe() && model.name().equals(vm.lastModel))
                .findFirst()
                .orElseThrow()
                .domain;
        for (int i = 0; i < count; i++) {
            vms.stream()
                    .filter(vm -> !vm.ended
                            && vm.domain.equals(domain)
                            && model.name().equals(vm.lastModel))
                    .filter(vm -> vm.group != null && vm.members.size() == model.groupSize() && !vm.isHead())
                    .findFirst()
                    .orElseThrow()
                    .ended = true;
            run(5_000);
        }
    }

    int servingAcrossDomains() {
        return (int) planner.serving(ENGINE).stream()
                .filter(group -> group.paceFactor() > 1)
                .count();
    }

    List<VmIncarnation> suspects() {
        return planner.serving(ENGINE).stream()
                .filter(ServingGroup::suspect)
                .map(ServingGroup::head)
                .toList();
    }

    int serving(GroupedModel model) {
        return (int) planner.serving(ENGINE).stream()
                .filter(group -> group.model().equals(model.name()))
                .filter(group -> vms.stream()
                        .anyMatch(vm -> vm.incarnation.equals(group.head())
                                && vm.mayServe()
                                && vm.members.stream().allMatch(member -> isIn(member, vm.group, vm.epoch))))
                .count();
    }

    GroupedModel model(ModelVersionName name) {
        return ENGINE.model(name).orElseThrow();
    }

    /** Returns the time of a load: a tenth of the usual time before callers start, plus a random amount. */
    long loadMs(ModelVersionName name) {
        final long usualMs = model(name).loadMs() / (callersActive ? 1 : 10);
        return usualMs + random.nextInt(100);
    }

    SimulatedVm anyMember() {
        final List<SimulatedVm> joined = vms.stream()
                .filter(vm -> !vm.ended && !vm.partitioned && vm.group != null)
                .toList();
        return joined.get(random.nextInt(joined.size()));
    }

    /** Restarts a VM at once under its name; the new process knows nothing of its group. */
    void restart(SimulatedVm vm) {
        vm.ended = true;
        final SimulatedVm restarted = add(vm.incarnation.vm().value(), vm.domain.value(), vm.address);
        restarted.staged.addAll(vm.staged);
        restarted.lastGroup = vm.lastGroup;
        restarted.lastEpoch = vm.lastEpoch;
    }

    /** Returns a warm spare in a domain that has a group with more than one VM. */
    SimulatedVm anySpare() {
        return vms.stream()
                .filter(vm -> vm.group != null && vm.members.size() == 1)
                .findFirst()
                .orElseThrow();
    }

    /** Ends a member of a group in the domain of a spare that has the weights of the group, so that the spare joins it. */
    void endMemberInDomainOf(SimulatedVm spare) {
        vms.stream()
                .filter(vm -> vm.domain.equals(spare.domain) && vm.group != null && vm.members.size() > 1)
                .filter(vm -> !vm.isHead() && spare.lastModel.equals(vm.lastModel))
                .findFirst()
                .orElseThrow()
                .ended = true;
    }

    /** Returns the heartbeat of a VM that the leader received last. */
    VmHeartbeat latestHeartbeat(SimulatedVm vm) {
        return receivedHeartbeats.stream()
                .map(ReceivedHeartbeat::heartbeat)
                .filter(heartbeat -> heartbeat.vm().equals(vm.incarnation))
                .reduce((earlier, later) -> later)
                .orElseThrow();
    }

    /** Returns the first heartbeat of a VM that a leader received. */
    VmHeartbeat firstHeartbeat(SimulatedVm vm) {
        return receivedHeartbeats.stream()
                .map(ReceivedHeartbeat::heartbeat)
                .filter(heartbeat -> heartbeat.vm().equals(vm.incarnation))
                .findFirst()
                .orElseThrow();
    }

    /** Lets the leader receive a heartbeat that was delayed. */
    void receive(VmHeartbeat delayed) {
        registry.recordHeartbeat(delayed, nanos(nowMs));
    }

    SimulatedVm anyHead() {
        return vms.stream().filter(SimulatedVm::mayServe).findFirst().orElseThrow();
    }

    boolean isSilent(VmName name) {
        return vms.stream().anyMatch(vm -> vm.silent && vm.incarnation.vm().equals(name));
    }

    /** Returns a VM of the group of this head. */
    SimulatedVm memberOf(SimulatedVm head) {
        return vms.stream()
                .filter(vm -> !vm.isHead() && head.group.equals(vm.group))
                .findFirst()
                .orElseThrow();
    }

    /** Returns the members of a group, the head first. */
    List<SimulatedVm> membersOf(SimulatedVm head) {
        return vms.stream()
                .filter(vm -> head.group.equals(vm.group))
                .sorted(Comparator.comparing(vm -> !vm.isHead()))
                .toList();
    }

    long nowMs() {
        return nowMs;
    }

    int indexOf(SimulatedVm vm) {
        return vms.indexOf(vm);
    }

    boolean isIn(VmName member, GroupName group, long epoch) {
        return vms.stream()
                .anyMatch(vm ->
                        !vm.ended && vm.incarnation.vm().equals(member) && group.equals(vm.group) && vm.epoch == epoch);
    }

    void recordReady(GroupName group, VmName vm) {
        everReady.computeIfAbsent(group, unused -> new HashSet<>()).add(vm);
    }

    void checkCompleteBeforeOpening(SimulatedVm head) {
        final Set<VmName> ready = everReady.getOrDefault(head.group, Set.of());
        final boolean complete =
                head.members.size() == model(head.lastModel).groupSize() && ready.containsAll(head.members);
        if (!complete) {
            violations.add(nowMs + " ms: " + head.group + " opens, but its ready members were " + ready + " of "
                    + head.members);
        }
    }

    void checkNotServingBeforeJoin(SimulatedVm vm, GroupOrder order) {
        vms.stream()
                .filter(head -> head.mayServe() && head.group.equals(vm.lastGroup) && head.epoch == vm.lastEpoch)
                .filter(head -> !order.group().equals(vm.lastGroup))
                .forEach(head -> violations.add(nowMs + " ms: " + vm.incarnation + " joins " + order.group()
                        + " while head " + head.incarnation + " of " + head.group + " is " + head.state));
    }

    void schedule(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
