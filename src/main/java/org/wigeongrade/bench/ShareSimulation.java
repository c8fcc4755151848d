package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.limits.HeldShares;
import org.wigeongrade.decisions.limits.ShareAllocator;
import org.wigeongrade.decisions.limits.ShareGrant;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.decisions.limits.Slot;
import org.wigeongrade.decisions.limits.WarmupState;

/**
 * Simulates entry VMs, a leader and endpoints in virtual time, with faults derived from a seed, and counts each send
 * that overloads an endpoint. Not thread-safe.
 */
public final class ShareSimulation {
    static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);
    static final long LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long ANNOUNCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    private static final double MAX_CLOCK_DRIFT = 0.004;
    private static final double SKEWED_RATIO = 0.7;

    private final ShareScenario scenario;
    private final RandomGenerator random;
    private final VirtualTime time = new VirtualTime();
    private final SimulatedNetwork network;
    private final List<SimulatedEntryVm> entryVms = new ArrayList<>();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final ShareFaultInjector faults;
    private ShareAllocator allocator;
    private long term;
    private long offered;
    private long sent;
    private long completed;
    private long warmOverloads;
    private long coldOverloads;
    private long coldSends;
    private long ledgerOverBound;

    private ShareSimulation(ShareScenario scenario) {
        this.scenario = scenario;
        this.random = new Random(scenario.seed());
        this.network = new SimulatedNetwork(time, random, scenario.hasFaults());
        for (int i = 0; i < scenario.entryVms(); i++) {
            double speed = 1 + (random.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT;
            entryVms.add(new SimulatedEntryVm(i, random.nextLong(1_000_000_000_000L), speed));
        }
        for (int i = 0; i < scenario.endpoints(); i++) {
            endpoints.add(new SimulatedEndpoint(i, scenario.capacity(), scenario.coldCapacity()));
        }
        this.faults = new ShareFaultInjector(scenario, time, random, entryVms, endpoints, this::changeLeader);
    }

    /** Runs one scenario; equal scenarios give equal results. */
    public static ShareResult run(ShareScenario scenario) {
        return new ShareSimulation(scenario).run();
    }

    private ShareResult run() {
        startLeader(-10 * LONGEST_RUN_NANOS);
        entryVms.forEach(this::scheduleReport);
        endpoints.forEach(this::scheduleAnnouncement);
        faults.start();
        scheduleArrival();
        time.runUntil(TimeUnit.SECONDS.toNanos(scenario.virtualSeconds()));
        return result();
    }

    private ShareResult result() {
        int highestInFlight = endpoints.stream()
                .mapToInt(SimulatedEndpoint::highestInFlight)
                .max()
                .orElse(0);
        return new ShareResult(
                offered,
                sent,
                completed,
                warmOverloads,
                coldOverloads,
                coldSends,
                highestInFlight,
                ledgerOverBound,
                term - 1,
                faults.entryVmFaults(),
                faults.coldStarts());
    }

    private void startLeader(long olderLeasesEndNanos) {
        term++;
        allocator = new ShareAllocator(LEASE_NANOS, olderLeasesEndNanos);
        for (SimulatedEndpoint endpoint : endpoints) {
            WarmupState warmupState =
                    endpoint.isCold() && scenario.mechanism().reactsToColdSigns() ? WarmupState.COLD : WarmupState.WARM;
            allocator.setLimit(
                    endpoint.key,
                    scenario.mechanism().resourceLimit(scenario.capacity(), scenario.coldCapacity(), LONGEST_RUN_NANOS),
                    warmupState);
        }
    }

    private void changeLeader() {
        startLeader(scenario.mechanism().olderLeasesEndNanos(time.nowNanos(), LEASE_NANOS));
    }

    /**
     * Runs an action on an entry VM, once the VM is not frozen. Drops the action if the process that it belongs to is
     * dead or was restarted.
     */
    private void runOnEntryVm(SimulatedEntryVm entryVm, long incarnation, Runnable action) {
        if (entryVm.isDead() || entryVm.incarnation() != incarnation) {
            return;
        }
        if (entryVm.isFrozen(time.nowNanos())) {
            time.after(entryVm.frozenUntilNanos() - time.nowNanos(), () -> runOnEntryVm(entryVm, incarnation, action));
            return;
        }
        action.run();
    }

    private void scheduleReport(SimulatedEntryVm entryVm) {
        time.after(REPORT_NANOS / 2 + random.nextLong(REPORT_NANOS), () -> {
            runOnEntryVm(
                    entryVm, entryVm.incarnation(), () -> endpoints.forEach(endpoint -> report(entryVm, endpoint.key)));
            scheduleReport(entryVm);
        });
    }

    private void report(SimulatedEntryVm entryVm, ShareKey key) {
        if (!scenario.mechanism().asksLeader()) {
            return;
        }
        long sentNanos = entryVm.clockNanos(time.nowNanos());
        long incarnation = entryVm.incarnation();
        long termAtSend = term;
        ShareReport report = entryVm.shares().report(key, sentNanos);
        network.send(() -> {
            if (term != termAtSend) {
                return;
            }
            Optional<ShareGrant> grant = allocator.applyReport(entryVm.name, incarnation, report, time.nowNanos());
            countOverAllocation(key);
            grant.ifPresent(shareGrant -> network.send(() -> runOnEntryVm(
                    entryVm,
                    incarnation,
                    () -> entryVm.shares().applyGrant(shareGrant, shareGrant.deadlineNanos(sentNanos)))));
        });
    }

    private void countOverAllocation(ShareKey key) {
        if (allocator.allocatedSlots(key, time.nowNanos()) > scenario.capacity()) {
            ledgerOverBound++;
        }
    }

    private void scheduleAnnouncement(SimulatedEndpoint endpoint) {
        time.after(ANNOUNCE_NANOS, () -> {
            announce(endpoint);
            scheduleAnnouncement(endpoint);
        });
    }

    private void announce(SimulatedEndpoint endpoint) {
        long announcedNanos = time.nowNanos();
        int running = endpoint.inFlight();
        boolean cold = endpoint.isCold();
        SimulatedEntryVm receiver = entryVms.get(random.nextInt(entryVms.size()));
        network.send(() -> runOnEntryVm(receiver, receiver.incarnation(), () -> {
            network.send(() -> applyAnnouncement(endpoint, running, cold, announcedNanos));
            if (cold) {
                spreadColdSign(receiver, endpoint);
            }
        }));
    }

    private void applyAnnouncement(SimulatedEndpoint endpoint, int running, boolean cold, long announcedNanos) {
        endpoint.extendServingLease(time.nowNanos());
        allocator.applyEndpointReport(endpoint.key, running, announcedNanos, time.nowNanos());
        if (cold && scenario.mechanism().reactsToColdSigns()) {
            allocator.applyColdSign(endpoint.key);
        }
    }

    /**
     * Handles a cold sign, which is evidence that an endpoint is cold: the entry VM that received it drops its share
     * and informs the leader and the other entry VMs.
     */
    private void spreadColdSign(SimulatedEntryVm receiver, SimulatedEndpoint endpoint) {
        if (!scenario.mechanism().reactsToColdSigns()) {
            return;
        }
        receiver.shares().applyColdSign(endpoint.key);
        report(receiver, endpoint.key);
        for (SimulatedEntryVm other : entryVms) {
            if (other != receiver) {
                network.send(() -> runOnEntryVm(other, other.incarnation(), () -> {
                    other.shares().applyColdSign(endpoint.key);
                    report(other, endpoint.key);
                }));
            }
        }
    }

    private void scheduleArrival() {
        double arrivalsPerSecond =
                scenario.loadFactor() * scenario.capacity() * scenario.endpoints() / (MEAN_RUN_NANOS / 1e9);
        time.after((long) (-Math.log(1 - random.nextDouble()) * 1e9 / arrivalsPerSecond), () -> {
            handleArrival();
            scheduleArrival();
        });
    }

    private void handleArrival() {
        offered++;
        boolean toFirstEntryVm = scenario.skewed() && random.nextDouble() < SKEWED_RATIO;
        SimulatedEntryVm entryVm = entryVms.get(toFirstEntryVm ? 0 : random.nextInt(entryVms.size()));
        int start = random.nextInt(endpoints.size());
        runOnEntryVm(entryVm, entryVm.incarnation(), () -> {
            for (int i = 0; i < endpoints.size(); i++) {
                if (trySend(entryVm, endpoints.get((start + i) % endpoints.size()))) {
                    return;
                }
            }
        });
    }

    private boolean trySend(SimulatedEntryVm entryVm, SimulatedEndpoint endpoint) {
        Optional<Slot> slot = acquire(entryVm, endpoint.key);
        if (slot.isEmpty()) {
            return false;
        }
        faults.beforeSend(entryVm);
        HeldShares shares = entryVm.shares();
        time.after(
                random.nextLong(1_000_000),
                () -> runOnEntryVm(entryVm, entryVm.incarnation(), () -> {
                    boolean expired =
                            entryVm.clockNanos(time.nowNanos()) >= slot.get().deadlineNanos()
                                    || !endpoint.isServing(time.nowNanos());
                    if (expired && scenario.mechanism().checksBeforeSend()) {
                        shares.release(slot.get());
                        return;
                    }
                    send(entryVm, endpoint, slot.get());
                }));
        return true;
    }

    private Optional<Slot> acquire(SimulatedEntryVm entryVm, ShareKey key) {
        HeldShares shares = entryVm.shares();
        long clockNanos = entryVm.clockNanos(time.nowNanos());
        if (!scenario.mechanism().asksLeader()) {
            int equalShare = Math.max(1, scenario.capacity() / scenario.entryVms());
            ShareReport report = shares.report(key, clockNanos);
            shares.applyGrant(new ShareGrant(key, report.sequence(), equalShare, equalShare, 0, 0), Long.MAX_VALUE / 2);
        }
        return shares.tryAcquire(key, clockNanos);
    }

    private void send(SimulatedEntryVm entryVm, SimulatedEndpoint endpoint, Slot slot) {
        sent++;
        endpoint.begin();
        boolean coldAtSend = endpoint.isCold();
        countOverload(endpoint);
        double runTimeFactor = coldAtSend ? 2 : 1;
        long runNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_NANOS * runTimeFactor);
        long incarnation = entryVm.incarnation();
        time.after(Math.min(runNanos, LONGEST_RUN_NANOS / 2), () -> {
            endpoint.end();
            completed++;
            network.sendReliably(
                    () -> runOnEntryVm(entryVm, incarnation, () -> onResponse(entryVm, endpoint, slot, coldAtSend)));
        });
    }

    private void countOverload(SimulatedEndpoint endpoint) {
        warmOverloads += endpoint.isOverCapacity() ? 1 : 0;
        coldSends += endpoint.isCold() ? 1 : 0;
        boolean coldDetected = endpoint.isColdLongerThan(faults.coldDetectionNanos(), time.nowNanos());
        coldOverloads += coldDetected && endpoint.isOverColdCapacity() ? 1 : 0;
    }

    private void onResponse(SimulatedEntryVm entryVm, SimulatedEndpoint endpoint, Slot slot, boolean coldAtSend) {
        entryVm.shares().release(slot);
        if (coldAtSend && scenario.mechanism().reactsToColdSigns()) {
            entryVm.shares().recordColdCompletion(slot);
            report(entryVm, endpoint.key);
            return;
        }
        entryVm.shares().recordWarmCompletion(slot);
    }
}
