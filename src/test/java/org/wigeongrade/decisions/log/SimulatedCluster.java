package org.wigeongrade.decisions.log;

import static java.util.Comparator.naturalOrder;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedSet;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.ids.NodeName;

/**
 * Runs replicas under a seeded random schedule in virtual time: messages are lost, reordered and duplicated; links are
 * cut; nodes crash, freeze and lose their disks.
 *
 * <p>Invariant: a disk is lost only while every node is a committed voter under its current incarnation, so a quorum of
 * disks survives. Not thread safe.
 */
final class SimulatedCluster {
    private record Event(long trueNanos, long sequence, Runnable action) {}

    private record Link(NodeName from, NodeName to) {}

    private static final LogTimings TIMINGS = LogTimings.DEFAULT;
    private static final long TICK_NANOS = ms(20);
    private static final long MAX_MESSAGE_DELAY_NANOS = ms(30);
    private static final long MAX_STORE_DELAY_NANOS = ms(20);
    private static final long MAX_WRITE_BACK_NANOS = ms(1_000);
    private static final long MAX_DOWN_NANOS = ms(3_000);
    private static final long MAX_FREEZE_NANOS = ms(2_500);
    private static final long PROPOSE_EVERY_NANOS = ms(40);
    private static final long FAULT_EVERY_NANOS = ms(700);
    private static final long CLOCK_JUMP_NANOS = ms(3_000);
    private static final int COMPACT_AFTER_ENTRIES = 15;
    private static final int KEPT_ENTRIES = 5;

    final SafetyChecker checker = new SafetyChecker();
    private final Random random;
    private final CoreSettings[] settings;
    private final List<SimulatedNode> nodes = new ArrayList<>();
    private final Set<Link> cutLinks = new HashSet<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::trueNanos).thenComparingLong(Event::sequence));
    private Faults faults;
    private long trueNanos;
    private long sequence;
    private long nextIncarnation = 1;
    private boolean faultFree;

    SimulatedCluster(int size, long seed, Faults faults) {
        this(size, size, VoterPolicy.ALL_CONFIGURED, seed, faults);
    }

    /** Creates a cluster that the first {@code bootstrapVoters} nodes bootstrap and that the others discover. */
    SimulatedCluster(int size, int bootstrapVoters, VoterPolicy policy, long seed, Faults faults) {
        this.random = new Random(seed);
        this.faults = faults;
        ImmutableList.Builder<NodeName> names = ImmutableList.builder();
        for (int i = 1; i <= size; i++) {
            names.add(NodeName.of("control-" + i));
        }
        ImmutableSortedSet<NodeName> voters = ImmutableSortedSet.copyOf(names.build());
        ImmutableSortedSet<NodeName> first =
                voters.stream().limit(bootstrapVoters).collect(ImmutableSortedSet.toImmutableSortedSet(naturalOrder()));
        settings = voters.stream()
                .map(name ->
                        new CoreSettings(name, first.contains(name) ? first : ImmutableSortedSet.of(), policy, TIMINGS))
                .toArray(CoreSettings[]::new);
        for (NodeName name : voters) {
            SimulatedDisk disk = new SimulatedDisk(nextIncarnation++);
            nodes.add(new SimulatedNode(name, disk, random));
        }
        nodes.forEach(this::boot);
        schedule(PROPOSE_EVERY_NANOS, this::propose);
        schedule(ms(3_000), this::injectFault);
    }

    /** Runs with faults, then heals all links and nodes and continues without faults. */
    void run(long faultyMs, long faultFreeMs) {
        runUntil(trueNanos + ms(faultyMs));
        faultFree = true;
        cutLinks.clear();
        faults = Faults.NONE;
        nodes.stream().filter(node -> node.core.isEmpty()).forEach(this::boot);
        runUntil(trueNanos + ms(faultFreeMs));
    }

    /**
     * Returns whether exactly one leader holds a lease, all nodes are voters, and each has applied all but a few of the
     * committed entries.
     */
    boolean hasConverged() {
        boolean allAreVoters =
                nodes.stream().allMatch(node -> node.core.map(RaftCore::isVoter).orElse(false));
        boolean allCaughtUp = nodes.stream()
                .allMatch(node ->
                        checker.committedIndex() - node.core.orElseThrow().appliedIndex() < KEPT_ENTRIES);
        return allAreVoters && allCaughtUp && leaseHolders().size() == 1;
    }

    long committedIndex() {
        return checker.committedIndex();
    }

    private void runUntil(long endNanos) {
        while (!events.isEmpty()
                && events.peek().trueNanos() <= endNanos
                && checker.violations().isEmpty()) {
            Event event = events.poll();
            trueNanos = event.trueNanos();
            event.action().run();
            checker.onLeaseHolders(leaseHolders());
        }
        trueNanos = endNanos;
    }

    private List<NodeName> leaseHolders() {
        return nodes.stream()
                .filter(node -> node.holdsLease(trueNanos))
                .map(node -> node.name)
                .toList();
    }

    private void boot(SimulatedNode node) {
        node.boot(settings[nodes.indexOf(node)], random, trueNanos);
        nodes.forEach(peer -> node.core.orElseThrow().addDiscoveredPeer(peer.name));
        tick(node, node.bootEpoch);
    }

    private void tick(SimulatedNode node, int bootEpoch) {
        runWhenAwake(node, bootEpoch, () -> {
            node.core.orElseThrow().tick(node.clockNanos(trueNanos));
            processOutputs(node);
            schedule(TICK_NANOS, () -> tick(node, bootEpoch));
        });
    }

    private void propose() {
        SimulatedNode node = anyNode();
        runWhenAwake(node, node.bootEpoch, () -> {
            byte[] command = Long.toString(sequence).getBytes(StandardCharsets.US_ASCII);
            node.core.orElseThrow().propose(Bytes.wrap(command));
            processOutputs(node);
        });
        schedule(PROPOSE_EVERY_NANOS, this::propose);
    }

    /** Runs an input of a node once the node is not frozen; drops it if the node has crashed since. */
    private void runWhenAwake(SimulatedNode node, int bootEpoch, Runnable input) {
        if (node.bootEpoch != bootEpoch || node.core.isEmpty()) {
            return;
        }
        if (node.frozenUntilNanos > trueNanos) {
            schedule(node.frozenUntilNanos - trueNanos, () -> runWhenAwake(node, bootEpoch, input));
            return;
        }
        input.run();
    }

    private void processOutputs(SimulatedNode node) {
        RaftCore core = node.core.orElseThrow();
        Outputs outputs = core.drain(node.clockNanos(trueNanos));
        while (!outputs.isEmpty()) {
            checkOutputs(node, outputs);
            execute(node, outputs);
            outputs = core.drain(node.clockNanos(trueNanos));
        }
        if (core.role() == Role.LEADER) {
            checker.onLeader(node.name, core);
        }
        boolean due = core.appliedIndex() - core.snapshotIndex() >= COMPACT_AFTER_ENTRIES;
        if (due && node.pendingStores == 0) {
            Snapshot taken = core.compact(Bytes.wrap(new byte[300]), KEPT_ENTRIES);
            node.disk.compact(taken, core.base(), core.entriesFromBase());
        }
    }

    private void checkOutputs(SimulatedNode node, Outputs outputs) {
        outputs.halt().ifPresent(reason -> checker.onHalt(node.name, reason));
        outputs.installed().ifPresent(snapshot -> checker.installs(node.name, snapshot.position()));
        outputs.entries().forEach(entry -> checker.onAppend(node.name, entry));
        outputs.committed().forEach(entry -> checker.onApply(node.name, entry));
    }

    private void execute(SimulatedNode node, Outputs outputs) {
        int bootEpoch = node.bootEpoch;
        boolean stores = outputs.hardState().isPresent()
                || outputs.installed().isPresent()
                || !outputs.entries().isEmpty();
        boolean waitsForHardState = outputs.hardState().isPresent() || node.pendingHardStates > 0;
        if (!waitsForHardState) {
            send(node, outputs.immediate());
        }
        node.pendingStores++;
        node.pendingHardStates += outputs.hardState().isPresent() ? 1 : 0;
        long delayNanos = stores ? random.nextLong(maxStoreDelayNanos()) : 0;
        node.storesDoneNanos = Math.max(node.storesDoneNanos, trueNanos + delayNanos);
        if (faults.unsyncedCountsAsSynced()) {
            reportPersisted(node, outputs);
        }
        schedule(
                node.storesDoneNanos - trueNanos,
                () -> runWhenAwake(node, bootEpoch, () -> onStored(node, outputs, waitsForHardState)));
    }

    private long maxStoreDelayNanos() {
        return faults.unsyncedCountsAsSynced() ? MAX_WRITE_BACK_NANOS : MAX_STORE_DELAY_NANOS;
    }

    private void onStored(SimulatedNode node, Outputs outputs, boolean waitedForHardState) {
        node.pendingStores--;
        node.pendingHardStates -= outputs.hardState().isPresent() ? 1 : 0;
        if (!node.disk.store(outputs)) {
            checker.onGap(node.name);
        }
        if (waitedForHardState) {
            send(node, outputs.immediate());
        }
        if (!faults.unsyncedCountsAsSynced()) {
            reportPersisted(node, outputs);
            processOutputs(node);
        }
    }

    private void reportPersisted(SimulatedNode node, Outputs outputs) {
        send(node, outputs.afterPersist());
        if (!outputs.entries().isEmpty()) {
            LogEntry last = outputs.entries().get(outputs.entries().size() - 1);
            node.core.orElseThrow().onPersisted(last.index(), last.term());
        }
    }

    private void send(SimulatedNode from, List<Outputs.OutgoingMessage> messages) {
        for (Outputs.OutgoingMessage outgoing : messages) {
            deliverLater(from.name, outgoing);
            if (random.nextDouble() < faults.duplicateProbability()) {
                deliverLater(from.name, outgoing);
            }
        }
    }

    private void deliverLater(NodeName from, Outputs.OutgoingMessage outgoing) {
        if (random.nextDouble() < faults.lossProbability()) {
            return;
        }
        schedule(random.nextLong(MAX_MESSAGE_DELAY_NANOS), () -> {
            SimulatedNode to = node(outgoing.to());
            if (!cutLinks.contains(new Link(from, to.name))) {
                runWhenAwake(to, to.bootEpoch, () -> {
                    to.core.orElseThrow().receive(from, outgoing.message(), to.clockNanos(trueNanos));
                    processOutputs(to);
                });
            }
        });
    }

    private void injectFault() {
        if (faultFree) {
            return;
        }
        SimulatedNode node = anyNode();
        switch (random.nextInt(8)) {
            case 0 -> crash(node);
            case 1 -> loseDisk(node);
            case 2 -> freeze(node);
            case 3 -> cutLinks.clear();
            case 4 -> cutLinks.add(new Link(node.name, anyNode().name));
            case 5 -> nodes.forEach(this::crash);
            case 6 -> transferLeadership();
            default -> isolate(node);
        }
        schedule(random.nextLong(2 * FAULT_EVERY_NANOS), this::injectFault);
    }

    private void crash(SimulatedNode node) {
        node.crash();
        schedule(random.nextLong(MAX_DOWN_NANOS), () -> {
            if (node.core.isEmpty()) {
                boot(node);
            }
        });
    }

    private void transferLeadership() {
        for (SimulatedNode node : nodes) {
            runWhenAwake(node, node.bootEpoch, () -> {
                node.core.orElseThrow().transferLeadership(node.clockNanos(trueNanos));
                processOutputs(node);
            });
        }
    }

    private void freeze(SimulatedNode node) {
        long untilNanos = trueNanos + random.nextLong(MAX_FREEZE_NANOS);
        node.frozenUntilNanos = Math.max(node.frozenUntilNanos, untilNanos);
    }

    private void loseDisk(SimulatedNode node) {
        Membership voters = checker.committedMembership();
        boolean allAreVoters =
                nodes.stream().allMatch(other -> voters.isVoter(new Member(other.name, other.disk.incarnation)));
        if (!allAreVoters) {
            return;
        }
        crash(node);
        long incarnation = faults.lostDiskKeepsIncarnation() ? node.disk.incarnation : nextIncarnation++;
        node.disk = new SimulatedDisk(incarnation);
    }

    private void isolate(SimulatedNode node) {
        for (SimulatedNode other : nodes) {
            cutLinks.add(new Link(node.name, other.name));
            cutLinks.add(new Link(other.name, node.name));
            if (faults.clocksJump() && other != node) {
                other.clockOffsetNanos += CLOCK_JUMP_NANOS;
            }
        }
    }

    private SimulatedNode anyNode() {
        return nodes.get(random.nextInt(nodes.size()));
    }

    private SimulatedNode node(NodeName name) {
        Optional<SimulatedNode> found =
                nodes.stream().filter(node -> node.name.equals(name)).findFirst();
        return found.orElseThrow();
    }

    private void schedule(long delayNanos, Runnable action) {
        events.add(new Event(trueNanos + delayNanos, sequence++, action));
    }

    private static long ms(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
