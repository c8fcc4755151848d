package org.wigeongrade.bench;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Kills and freezes entry VMs, changes the leader and turns endpoints cold, at random times derived from a seed. Not
 * thread-safe.
 */
final class ShareFaultInjector {
    private static final long MAX_FAULT_NANOS = TimeUnit.SECONDS.toNanos(6);
    private static final double FREEZE_BEFORE_SEND_RATIO = 0.01;
    private static final long COLD_DETECTION_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ShareScenario scenario;
    private final VirtualTime time;
    private final RandomGenerator random;
    private final List<SimulatedEntryVm> entryVms;
    private final List<SimulatedEndpoint> endpoints;
    private final Runnable changeLeader;
    private long entryVmFaults;
    private long coldStarts;

    ShareFaultInjector(
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
     * Returns the time after which an endpoint that turned cold must no longer be overloaded. With faults, a late
     * announcement from before the endpoint turned cold may still extend its serving lease, and the shares granted
     * until then must also expire.
     */
    long coldDetectionNanos() {
        if (!scenario.hasFaults()) {
            return COLD_DETECTION_NANOS;
        }
        return SimulatedNetwork.MAX_LATE_DELAY_NANOS
                + SimulatedEndpoint.SERVING_LEASE_NANOS
                + ShareSimulation.LEASE_NANOS;
    }

    void start() {
        if (scenario.hasFaults()) {
            scheduleFault();
        }
        if (scenario.meanColdStartIntervalMs() > 0) {
            scheduleColdStart();
        }
    }

    /** If the scenario has faults, freezes the entry VM with a small probability between taking a slot and sending. */
    void beforeSend(SimulatedEntryVm entryVm) {
        if (scenario.hasFaults() && random.nextDouble() < FREEZE_BEFORE_SEND_RATIO) {
            freeze(entryVm, 1 + random.nextLong(MAX_FAULT_NANOS));
        }
    }

    private long randomInterval(long meanMs) {
        return random.nextLong(TimeUnit.MILLISECONDS.toNanos(2 * meanMs));
    }

    private void scheduleFault() {
        time.after(randomInterval(scenario.meanFaultIntervalMs()), () -> {
            injectFault();
            scheduleFault();
        });
    }

    private void injectFault() {
        SimulatedEntryVm entryVm = entryVms.get(random.nextInt(entryVms.size()));
        long durationNanos = 1 + random.nextLong(MAX_FAULT_NANOS);
        switch (random.nextInt(3)) {
            case 0 -> kill(entryVm, durationNanos);
            case 1 -> freeze(entryVm, durationNanos);
            default -> changeLeader.run();
        }
    }

    private void kill(SimulatedEntryVm entryVm, long durationNanos) {
        if (entryVm.isDead()) {
            return;
        }
        entryVmFaults++;
        entryVm.kill();
        time.after(durationNanos, entryVm::restart);
    }

    private void freeze(SimulatedEntryVm entryVm, long durationNanos) {
        if (entryVm.isDead() || entryVm.isFrozen(time.nowNanos())) {
            return;
        }
        entryVmFaults++;
        entryVm.freezeUntil(time.nowNanos() + durationNanos);
    }

    private void scheduleColdStart() {
        time.after(randomInterval(scenario.meanColdStartIntervalMs()), () -> {
            SimulatedEndpoint endpoint = endpoints.get(random.nextInt(endpoints.size()));
            if (!endpoint.isCold()) {
                coldStarts++;
                endpoint.turnCold(time.nowNanos());
            }
            scheduleColdStart();
        });
    }
}
