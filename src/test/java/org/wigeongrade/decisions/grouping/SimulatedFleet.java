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
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.discovery.VmRegistry;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.FabricDomain;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/**
 * Engine VMs and the leaders that form groups of them, in virtual time.
 *
 * <p>Checks the two promises that hold always: no group begins to serve before each member was ready in it, and no VM
 * joins another group while the head of its group may still serve. Not thread safe.
 */
final class SimulatedFleet {
    static final long HEARTBEAT_MS = 1_200;
    static final long STEP_MS = 50;
    static final GroupedModel LARGE = new GroupedModel(ModelVersionName.of("large"), 4, 0.67, 1, 16_000, 1_600);
    static final GroupedModel SMALL = new GroupedModel(ModelVersionName.of("small"), 2, 0.33, 0.6, 12_000, 1_100);
    static final EngineProfile ENGINE = new EngineProfile(
            18, 5, ImmutableList.of(LARGE, SMALL), 6.07, 0.35, 0.007, 46_000, 0.7, 2_048, 4, 6, 300, 2.5);
    private static final long ORDER_TIMEOUT_MS = 450;
    private static final long PROBE_TIMEOUT_MS = 250;
    /** One request at an endpoint that belongs to no group here. */
    private static final ImmutableMap<VmName, EndpointEvidence> CALLERS =
            ImmutableMap.of(VmName.of("plain"), new EndpointEvidence(1, 0, 0, false));

    private record Heard(long atMs, VmHeartbeat heartbeat) {}

    private record Event(long atMs, long sequence, Runnable action) {}

    final List<SimulatedVm> vms = new ArrayList<>();
    final List<String> violations = new ArrayList<>();
    final List<GroupChange> changes = new ArrayList<>();
    private final List<Heard> heard = new ArrayList<>();
    final Random random;
    /** Part of the orders that get no answer and are carried out 2 to 12 s later. */
    double lateOrders;

    /** Joins that had to load their weights. */
    int loads;

    /** Loads of second models onto hosts, while the VM stays as it is. */
    int secondLoads;

    private final Map<GroupName, Set<VmName>> everReady = new HashMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMs).thenComparingLong(Event::sequence));
    private VmRegistry registry = new VmRegistry();
    private GroupPlanner planner;
    private boolean callers;
    /** Each open group has a request, so that entry nodes see whether it makes progress. */
    private boolean everyGroupBusy;

    /** The model whose groups are full of requests, if any. */
    private Optional<GroupedModel> crowded = Optional.empty();

    /** When callers found no listener at a VM. */
    private final Map<VmName, Long> refusedMs = new HashMap<>();

    private long term;
    private long nowMs;
    /** A leader plans nothing before it had the time to hear of each VM. */
    private long settledMs = 2 * HEARTBEAT_MS;

    private long sequence;

    SimulatedFleet(int domains, int vmsInDomain, long seed) {
        this.random = new Random(seed);
        for (int domain = 0; domain < domains; domain++) {
            for (int vm = 0; vm < vmsInDomain; vm++) {
                add("vm-" + domain + "-" + vm, "domain-" + domain);
            }
        }
        newLeader();
    }

    SimulatedVm add(String name, String domain) {
        final SimulatedVm vm = new SimulatedVm(this, name, domain, nowMs + 1);
        vms.add(vm);
        return vm;
    }

    /** Another control VM leads; it knows what VMs reported, not what the earlier leader planned. */
    void newLeader() {
        term++;
        planner = new GroupPlanner(
                term, new GroupTimings(nanos(HEARTBEAT_MS), nanos(SimulatedVm.STALL_MS)), changes::add, nanos(nowMs));
    }

    /** Every control VM restarts: the leader has heard of nothing and hears of each VM with its next heartbeat. */
    void restartControl() {
        registry = new VmRegistry();
        newLeader();
        settledMs = nowMs + 2 * HEARTBEAT_MS;
    }

    /** Another control VM leads that heard of the latest heartbeats only as long ago as {@code lagMs}. */
    void newLeaderBehind(long lagMs) {
        registry = new VmRegistry();
        heard.stream()
                .filter(heartbeat -> heartbeat.atMs() <= nowMs - lagMs)
                .forEach(heartbeat -> registry.hear(heartbeat.heartbeat(), nanos(heartbeat.atMs())));
        newLeader();
    }

    void run(long forMs) {
        final long endMs = nowMs + forMs;
        while (nowMs < endMs) {
            nowMs += STEP_MS;
            while (!events.isEmpty() && events.peek().atMs() <= nowMs) {
                events.poll().action().run();
            }
            vms.forEach(vm -> vm.tick().ifPresent(heartbeat -> {
                heard.add(new Heard(nowMs, heartbeat));
                registry.hear(heartbeat, nanos(nowMs));
            }));
            if (nowMs > settledMs) {
                plan();
            }
        }
    }

    private void plan() {
        final GroupPlanner leader = planner;
        leader.plan(ENGINE, registry.records(nanos(nowMs)), evidence(), nanos(nowMs))
                .forEach(order -> deliver(leader, order));
    }

    private Map<VmName, EndpointEvidence> evidence() {
        if (!everyGroupBusy) {
            return callers ? CALLERS : ImmutableMap.of();
        }
        return vms.stream()
                .filter(vm -> vm.mayServe() || refusedMs.containsKey(vm.life.vm()))
                .collect(ImmutableMap.toImmutableMap(head -> head.life.vm(), head -> {
                    final boolean refuses = refusedMs.containsKey(head.life.vm());
                    final long progressedMs = refuses ? refusedMs.get(head.life.vm()) : nowMs - head.stalledMs();
                    return new EndpointEvidence(requestsAt(head), nowMs - progressedMs, nanos(progressedMs), refuses);
                }));
    }

    private int requestsAt(SimulatedVm head) {
        return crowded.filter(model -> model.name().equals(head.lastModel))
                .map(model -> ENGINE.slots())
                .orElse(1);
    }

    private void deliver(GroupPlanner leader, GroupOrder order) {
        final SimulatedVm vm = vms.stream()
                .filter(each -> each.life.equals(order.vm()))
                .findFirst()
                .orElseThrow();
        final boolean late = random.nextDouble() < lateOrders;
        if (late) {
            at(2_000 + random.nextInt(10_000), () -> take(vm, order));
        }
        if (late || vm.dark || vm.ended) {
            at(timeoutMs(order), () -> leader.answered(order, OrderAnswer.NONE, nanos(nowMs)));
            return;
        }
        at(5, () -> {
            final OrderAnswer answer = vm.ended ? OrderAnswer.NONE : vm.take(order);
            at(5, () -> leader.answered(order, answer, nanos(nowMs)));
        });
    }

    private static long timeoutMs(GroupOrder order) {
        return order.kind() == GroupOrderKind.PROBE ? PROBE_TIMEOUT_MS : ORDER_TIMEOUT_MS;
    }

    private static void take(SimulatedVm vm, GroupOrder order) {
        if (!vm.ended && !vm.dark) {
            vm.take(order);
        }
    }

    /** Callers send requests from now on, so that loads take their time. */
    void callersCome() {
        callers = true;
    }

    /** Every open group has a request from now on, whose progress the leader is told of. */
    void callersKeepEveryGroupBusy() {
        callers = true;
        everyGroupBusy = true;
    }

    /** Callers fill the groups of one model. */
    void crowd(GroupedModel model) {
        callersKeepEveryGroupBusy();
        crowded = Optional.of(model);
    }

    /** Callers find no listener at a VM. */
    void refusedBy(SimulatedVm vm) {
        refusedMs.put(vm.life.vm(), nowMs);
    }

    /** Ends every VM of some domains; each starts again under another name, with the weights that its host keeps. */
    void restartDomains(Set<String> domains, long downMs, long spreadMs) {
        final List<SimulatedVm> lost = vms.stream()
                .filter(vm -> !vm.ended && domains.contains(vm.domain.value()))
                .toList();
        for (final SimulatedVm vm : lost) {
            vm.ended = true;
            at(
                    downMs + random.nextInt((int) spreadMs),
                    () -> add(vm.life.vm().value() + "-again", vm.domain.value())
                            .staged
                            .addAll(vm.staged));
        }
    }

    /** Ends members of one group, one after the other, so that the later one meets the repaired group. */
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
                        .anyMatch(vm -> vm.life.equals(group.head())
                                && vm.mayServe()
                                && vm.members.stream().allMatch(member -> isIn(member, vm.group, vm.epoch))))
                .count();
    }

    GroupedModel model(ModelVersionName name) {
        return ENGINE.model(name).orElseThrow();
    }

    /** Returns how long a load takes: a tenth before callers come, and never quite the same. */
    long loadMs(ModelVersionName name) {
        final long usualMs = model(name).loadMs() / (callers ? 1 : 10);
        return usualMs + random.nextInt(100);
    }

    SimulatedVm anyInGroup() {
        final List<SimulatedVm> joined = vms.stream()
                .filter(vm -> !vm.ended && !vm.dark && vm.group != null)
                .toList();
        return joined.get(random.nextInt(joined.size()));
    }

    SimulatedVm anyHead() {
        return vms.stream().filter(SimulatedVm::mayServe).findFirst().orElseThrow();
    }

    long nowMs() {
        return nowMs;
    }

    int indexOf(SimulatedVm vm) {
        return vms.indexOf(vm);
    }

    boolean isIn(VmName member, GroupName group, long epoch) {
        return vms.stream()
                .anyMatch(
                        vm -> !vm.ended && vm.life.vm().equals(member) && group.equals(vm.group) && vm.epoch == epoch);
    }

    void readyOnce(GroupName group, VmName vm) {
        everReady.computeIfAbsent(group, unused -> new HashSet<>()).add(vm);
    }

    void checkOpens(SimulatedVm head) {
        final Set<VmName> ready = everReady.getOrDefault(head.group, Set.of());
        final boolean whole =
                head.members.size() == model(head.lastModel).groupSize() && ready.containsAll(head.members);
        if (!whole) {
            violations.add(nowMs + " ms: " + head.group + " opens, ready were " + ready + " of " + head.members);
        }
    }

    void checkJoin(SimulatedVm vm, GroupOrder order) {
        vms.stream()
                .filter(head -> head.mayServe() && head.group.equals(vm.group) && head.epoch == vm.epoch)
                .forEach(head -> violations.add(nowMs + " ms: " + vm.life + " joins " + order.group() + " while head "
                        + head.life + " of " + head.group + " is " + head.state));
    }

    void at(long delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, sequence++, action));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
