package org.wigeongrade.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Kills and freezes entry VMs, changes the leader and turns endpoints cold at seeded times. Not thread-safe. */
final class ShareFaults {
    private static final long LONGEST_FAULT_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final double FROZEN_BEFORE_SEND_PART = 0.01;
    private static final long DETECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ShareScenario scenario;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final List<SimulatedEntryVm> entryVms;
    private final List<SimulatedEndpoint> endpoints;
    private final Runnable changeLeader;
    private long entryVmFaults;
    private long coldStarts;

    ShareFaults(
            ShareScenario scenario,
            VirtualTime time,
            RandomGenerator random,
            List<SimulatedEntryVm> entryVms,
            List<SimulatedEndpoint> endpoints,
            Runnable changeLeader) {
        this.scenario = scenario;
        this.time = time;
        this.random = random;
        this.entryVms = entryVms;
        this.endpoints = endpoints;
        this.changeLeader = changeLeader;
    }

    long entryVmFaults() {
        return entryVmFaults;
    }

    long coldStarts() {
        return coldStarts;
    }

    /**
     * Returns the time after which an endpoint that turned cold must not be overloaded any more: a late announcement from
     * before may still extend its serving lease, and the shares of that time then run out.
     */
    long detectionNanos() {
        if (!scenario.hasFaults()) {
            return DETECTION_NANOS;
        }
        return SimulatedNetwork.LONG_DELAY_NANOS + SimulatedEndpoint.SERVING_LEASE_NANOS + ShareSimulation.LEASE_NANOS;
    }

    void begin() {
        if (scenario.hasFaults()) {
            faultLater();
        }
        if (scenario.betweenColdStartsMs() > 0) {
            coldLater();
        }
    }

    /** Freezes some entry VMs between taking a slot and sending. */
    void beforeSend(SimulatedEntryVm entryVm) {
        if (scenario.hasFaults() && random.nextDouble() < FROZEN_BEFORE_SEND_PART) {
            freeze(entryVm, 1 + random.nextLong(LONGEST_FAULT_NANOS));
        }
    }

    private long upToTwice(long meanMs) {
        return random.nextLong(TimeUnit.MILLISECONDS.toNanos(2 * meanMs));
    }

    private void faultLater() {
        time.after(upToTwice(scenario.betweenFaultsMs()), () -> {
            fault();
            faultLater();
        });
    }

    private void fault() {
        SimulatedEntryVm entryVm = entryVms.get(random.nextInt(entryVms.size()));
        long lastsNanos = 1 + random.nextLong(LONGEST_FAULT_NANOS);
        switch (random.nextInt(3)) {
            case 0 -> kill(entryVm, lastsNanos);
            case 1 -> freeze(entryVm, lastsNanos);
            default -> changeLeader.run();
        }
    }

    private void kill(SimulatedEntryVm entryVm, long lastsNanos) {
        if (entryVm.isDead()) {
            return;
        }
        entryVmFaults++;
        entryVm.die();
        time.after(lastsNanos, entryVm::restart);
    }

    private void freeze(SimulatedEntryVm entryVm, long lastsNanos) {
        if (entryVm.isDead() || entryVm.isFrozen(time.nowNanos())) {
            return;
        }
        entryVmFaults++;
        entryVm.freezeUntil(time.nowNanos() + lastsNanos);
    }

    private void coldLater() {
        time.after(upToTwice(scenario.betweenColdStartsMs()), () -> {
            SimulatedEndpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
            if (!endpoint.isCold()) {
                coldStarts++;
                endpoint.turnCold(time.nowNanos());
            }
            coldLater();
        });
    }
}
