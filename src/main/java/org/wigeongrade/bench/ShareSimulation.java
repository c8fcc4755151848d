package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.limits.ShareGrant;
import org.wigeongrade.decisions.limits.ShareHolder;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.decisions.limits.ShareLedger;
import org.wigeongrade.decisions.limits.ShareReport;
import org.wigeongrade.decisions.limits.Slot;
import org.wigeongrade.decisions.limits.Warmth;

/**
 * Entry VMs, a leader and endpoints in virtual time, with seeded faults; counts each send that gives an endpoint more
 * than it can bear. Not thread-safe.
 */
public final class ShareSimulation {
    static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);
    static final long LONGEST_RUN_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final long REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long ANNOUNCE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(800);
    private static final double GREATEST_DRIFT = 0.004;
    private static final double SKEWED_PART = 0.7;

    private final ShareScenario scenario;
    private final RandomGenerator random;
    private final VirtualTime time = new VirtualTime();
    private final SimulatedNetwork network;
    private final List<SimulatedEntryVm> entryVms = new ArrayList<>();
    private final List<SimulatedEndpoint> endpoints = new ArrayList<>();
    private final ShareFaults faults;
    private ShareLedger ledger;
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
            double speed = 1 + (random.nextDouble() * 2 - 1) * GREATEST_DRIFT;
            entryVms.add(new SimulatedEntryVm(i, random.nextLong(1_000_000_000_000L), speed));
        }
        for (int i = 0; i < scenario.endpoints(); i++) {
            endpoints.add(new SimulatedEndpoint(i, scenario.capacity(), scenario.coldCapacity()));
        }
        this.faults = new ShareFaults(scenario, time, random, entryVms, endpoints, this::changeLeader);
    }

    /** Runs one scenario from its seed. */
    public static ShareResult run(ShareScenario scenario) {
        return new ShareSimulation(scenario).run();
    }

    private ShareResult run() {
        startLeader(-10 * LONGEST_RUN_NANOS);
        entryVms.forEach(this::reportLater);
        endpoints.forEach(this::announceLater);
        faults.begin();
        arriveLater();
        time.runUntil(TimeUnit.SECONDS.toNanos(scenario.virtualSeconds()));
        return result();
    }

    private ShareResult result() {
        int highest = endpoints.stream()
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
                highest,
                ledgerOverBound,
                term - 1,
                faults.entryVmFaults(),
                faults.coldStarts());
    }

    private void startLeader(long olderLeasesEndNanos) {
        term++;
        ledger = new ShareLedger(LEASE_NANOS, olderLeasesEndNanos);
        for (SimulatedEndpoint endpoint : endpoints) {
            Warmth warmth = endpoint.isCold() && scenario.mechanism().noticesColdSigns() ? Warmth.COLD : Warmth.WARM;
            ledger.setBound(
                    endpoint.key,
                    scenario.mechanism().bound(scenario.capacity(), scenario.coldCapacity(), LONGEST_RUN_NANOS),
                    warmth);
        }
    }

    private void changeLeader() {
        startLeader(scenario.mechanism().olderLeasesEndNanos(time.nowNanos(), LEASE_NANOS));
    }

    /** Runs an action of one process life, when it is not frozen. */
    private void onEntryVm(SimulatedEntryVm entryVm, long incarnation, Runnable action) {
        if (entryVm.isDead() || entryVm.incarnation() != incarnation) {
            return;
        }
        if (entryVm.isFrozen(time.nowNanos())) {
            time.after(entryVm.frozenUntilNanos() - time.nowNanos(), () -> onEntryVm(entryVm, incarnation, action));
            return;
        }
        action.run();
    }

    private void reportLater(SimulatedEntryVm entryVm) {
        time.after(REPORT_NANOS / 2 + random.nextLong(REPORT_NANOS), () -> {
            onEntryVm(entryVm, entryVm.incarnation(), () -> endpoints.forEach(at -> report(entryVm, at.key)));
            reportLater(entryVm);
        });
    }

    private void report(SimulatedEntryVm entryVm, ShareKey key) {
        if (!scenario.mechanism().asksLeader()) {
            return;
        }
        long sentNanos = entryVm.clockNanos(time.nowNanos());
        long incarnation = entryVm.incarnation();
        long toTerm = term;
        ShareReport report = entryVm.shares().report(key, sentNanos);
        network.send(() -> {
            if (term != toTerm) {
                return;
            }
            Optional<ShareGrant> grant = ledger.report(entryVm.name, incarnation, report, time.nowNanos());
            countLedger(key);
            grant.ifPresent(given -> network.send(() -> onEntryVm(
                    entryVm, incarnation, () -> entryVm.shares().applyGrant(given, given.deadlineNanos(sentNanos)))));
        });
    }

    private void countLedger(ShareKey key) {
        if (ledger.chargedSlots(key, time.nowNanos()) > scenario.capacity()) {
            ledgerOverBound++;
        }
    }

    private void announceLater(SimulatedEndpoint endpoint) {
        time.after(ANNOUNCE_NANOS, () -> {
            announce(endpoint);
            announceLater(endpoint);
        });
    }

    private void announce(SimulatedEndpoint endpoint) {
        long madeNanos = time.nowNanos();
        int running = endpoint.inFlight();
        boolean cold = endpoint.isCold();
        SimulatedEntryVm receiver = entryVms.get(random.nextInt(entryVms.size()));
        network.send(() -> onEntryVm(receiver, receiver.incarnation(), () -> {
            network.send(() -> announcedToLeader(endpoint, running, cold, madeNanos));
            if (cold) {
                coldSignSeen(receiver, endpoint);
            }
        }));
    }

    private void announcedToLeader(SimulatedEndpoint endpoint, int running, boolean cold, long madeNanos) {
        endpoint.announced(time.nowNanos());
        ledger.endpointReport(endpoint.key, running, madeNanos, time.nowNanos());
        if (cold && scenario.mechanism().noticesColdSigns()) {
            ledger.coldSign(endpoint.key);
        }
    }

    /** The entry VM that saw the sign drops its share and tells the others and the leader. */
    private void coldSignSeen(SimulatedEntryVm seer, SimulatedEndpoint endpoint) {
        if (!scenario.mechanism().noticesColdSigns()) {
            return;
        }
        seer.shares().coldSign(endpoint.key);
        report(seer, endpoint.key);
        for (SimulatedEntryVm other : entryVms) {
            if (other != seer) {
                network.send(() -> onEntryVm(other, other.incarnation(), () -> {
                    other.shares().coldSign(endpoint.key);
                    report(other, endpoint.key);
                }));
            }
        }
    }

    private void arriveLater() {
        double perSecond = scenario.loadFactor() * scenario.capacity() * scenario.endpoints() / (MEAN_RUN_NANOS / 1e9);
        time.after((long) (-Math.log(1 - random.nextDouble()) * 1e9 / perSecond), () -> {
            arrive();
            arriveLater();
        });
    }

    private void arrive() {
        offered++;
        boolean toFirst = scenario.skewed() && random.nextDouble() < SKEWED_PART;
        SimulatedEntryVm entryVm = entryVms.get(toFirst ? 0 : random.nextInt(entryVms.size()));
        int start = random.nextInt(endpoints.size());
        onEntryVm(entryVm, entryVm.incarnation(), () -> {
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
        ShareHolder shares = entryVm.shares();
        time.after(
                random.nextLong(1_000_000),
                () -> onEntryVm(entryVm, entryVm.incarnation(), () -> {
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
        ShareHolder shares = entryVm.shares();
        long clockNanos = entryVm.clockNanos(time.nowNanos());
        if (!scenario.mechanism().asksLeader()) {
            int part = Math.max(1, scenario.capacity() / scenario.entryVms());
            ShareReport report = shares.report(key, clockNanos);
            shares.applyGrant(new ShareGrant(key, report.sequence(), part, part, 0, 0), Long.MAX_VALUE / 2);
        }
        return shares.tryAcquire(key, clockNanos);
    }

    private void send(SimulatedEntryVm entryVm, SimulatedEndpoint endpoint, Slot slot) {
        sent++;
        endpoint.begin();
        boolean coldAtSend = endpoint.isCold();
        countOverload(endpoint);
        double slowness = coldAtSend ? 2 : 1;
        long runNanos = (long) (-Math.log(1 - random.nextDouble()) * MEAN_RUN_NANOS * slowness);
        long incarnation = entryVm.incarnation();
        time.after(Math.min(runNanos, LONGEST_RUN_NANOS / 2), () -> {
            endpoint.end();
            completed++;
            network.sendReliably(
                    () -> onEntryVm(entryVm, incarnation, () -> answered(entryVm, endpoint, slot, coldAtSend)));
        });
    }

    private void countOverload(SimulatedEndpoint endpoint) {
        warmOverloads += endpoint.isOverCapacity() ? 1 : 0;
        coldSends += endpoint.isCold() ? 1 : 0;
        boolean known = endpoint.isColdLongerThan(faults.detectionNanos(), time.nowNanos());
        coldOverloads += known && endpoint.isOverColdCapacity() ? 1 : 0;
    }

    private void answered(SimulatedEntryVm entryVm, SimulatedEndpoint endpoint, Slot slot, boolean cold) {
        entryVm.shares().release(slot);
        if (cold && scenario.mechanism().noticesColdSigns()) {
            entryVm.shares().completedCold(slot);
            report(entryVm, endpoint.key);
            return;
        }
        entryVm.shares().completedWarm(slot);
    }
}
