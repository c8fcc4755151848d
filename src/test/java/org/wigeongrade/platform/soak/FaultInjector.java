package org.wigeongrade.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.FaultInjectionProxy;

/**
 * Injects random, overlapping faults that depend on a seed. Each fault ends by itself.
 *
 * <p>Invariant: no more disks are lost than the fleet tolerates. Not thread safe; one thread chooses the faults, and
 * each fault runs on its own thread.
 */
final class FaultInjector {
    private static final int MAX_FAULT_MS = 2_500;
    /** Longer than the time in which requests to a leaving endpoint must end. */
    private static final long LEAVING_MS = 2_500;
    /** Added to a cut, so that its node is cut for longer than it takes to notice. */
    private static final long LONG_CUT_MS = 3_000;
    /** The time to learn a limit and a window in which it is checked. */
    private static final long LIMITED_MS = 8_000;

    private static final List<FaultInjectionProxy.Mode> CUTS = List.of(
            FaultInjectionProxy.Mode.PARTITION,
            FaultInjectionProxy.Mode.RESET_AND_REFUSE,
            FaultInjectionProxy.Mode.REFUSE_NEW);

    private final SoakNodes nodes;
    private final FakeEndpointFleet endpoints;
    private final Random random;
    private final List<Thread> faultThreads = new ArrayList<>();
    private final List<String> injected = new ArrayList<>();
    private final GroupFaults groupFaults;
    private final IncidentSeries incident;
    private final boolean onlyIncident;
    private final CrashingRequestSeries crashing;
    private final boolean onlyCrashing;
    private final SilenceSeries silence;
    private final boolean onlySilence;
    /** Apart from {@link #random}, so that a seed keeps the order of its other faults. */
    private final Random groupFaultRandom;

    private final boolean onlyGroupFaults = Boolean.getBoolean("soak.groupFaults");
    private int disksLost;

    FaultInjector(SoakNodes nodes, FakeEndpointFleet endpoints, long seed) {
        this.nodes = nodes;
        this.endpoints = endpoints;
        this.random = new Random(seed);
        this.groupFaultRandom = new Random(~seed);
        this.incident = new IncidentSeries(nodes, endpoints, seed);
        this.silence = new SilenceSeries(nodes, endpoints, seed);
        this.crashing = new CrashingRequestSeries(nodes, endpoints, seed);
        this.onlyCrashing = seed >= FleetSoakTest.FIRST_CRASH_SEED;
        this.onlySilence = seed >= FleetSoakTest.FIRST_SILENCE_SEED;
        this.onlyIncident = seed >= FleetSoakTest.FIRST_INCIDENT_SEED;
        this.groupFaults = new GroupFaults(nodes, endpoints, groupFaultRandom);
    }

    List<String> injected() {
        return injected;
    }

    /** Injects faults for {@code forMs}, then waits until all have ended. */
    void run(long forMs) {
        if (onlyCrashing) {
            crashing.run(forMs);
            injected.addAll(crashing.injected());
            return;
        }
        if (onlySilence) {
            silence.run(forMs);
            injected.addAll(silence.injected());
            return;
        }
        if (onlyIncident) {
            incident.run(forMs);
            injected.addAll(incident.injected());
            return;
        }
        final long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < forMs * 1_000_000) {
            if (onlyGroupFaults || groupFaultRandom.nextBoolean()) {
                final GroupFaults.Fault fault = groupFaults.next();
                start(fault.description(), fault.action());
            } else {
                inject();
            }
            Await.sleepMs(random.nextInt(900));
        }
        faultThreads.forEach(fault -> {
            try {
                fault.join();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
    }

    private void inject() {
        final int node = random.nextInt(nodes.count());
        final int control = random.nextInt(nodes.addresses().controls());
        final FakeEndpointVm vm = endpoints.pick(random);
        final long forMs = 200L + random.nextInt(MAX_FAULT_MS);
        switch (random.nextInt(18)) {
            case 0 -> startAtNode("kill ", node, () -> nodes.killAndRestart(node, forMs, false));
            case 1 -> startAtNode("stop ", node, () -> nodes.stopAndRestart(node, forMs));
            case 2 -> startAtNode("pause ", node, () -> nodes.pause(node, forMs));
            case 3 ->
                start(
                        "drop all traffic to control " + control,
                        () -> disturbNetwork(control, FaultInjectionProxy.Mode.BLACKHOLE, forMs));
            case 4 ->
                start(
                        "drop incoming traffic to control " + control,
                        () -> disturbNetwork(control, FaultInjectionProxy.Mode.DROP_TO_TARGET, forMs));
            case 5 ->
                start(
                        "delay traffic to control " + control,
                        () -> disturbNetwork(control, FaultInjectionProxy.Mode.DELAY, forMs));
            case 6 -> start("reset connections to control " + control, () -> nodes.resetConnections(control));
            case 7 -> loseDisk(control, forMs);
            case 8 -> start("crash " + vm.name(), () -> crash(vm, forMs));
            case 9 -> start("make unresponsive " + vm.name(), () -> makeUnresponsive(vm, forMs));
            case 10 -> start("leave " + vm.name(), () -> leave(vm, forMs));
            case 11 -> start("fill the disk of control " + control, () -> nodes.fillDisk(control, forMs));
            case 12 ->
                start("say in responses that " + vm.name() + " leaves", () -> {
                    vm.sayLeavingThenLeave(LEAVING_MS);
                    Await.sleepMs(forMs);
                    vm.restart();
                });
            case 13 -> start("ask for a pause at " + vm.name(), () -> vm.askForPause(forMs));
            case 14 -> cutFromEndpoints(forMs);
            case 15 -> cutFromEndpoints(forMs + LONG_CUT_MS);
            case 16 -> {
                final double limit = 1 + random.nextInt(10);
                start("state a limit of " + limit + " at " + vm.name(), () -> vm.stateLimit(limit, LIMITED_MS));
            }
            default -> start("lose responses of " + vm.name(), () -> loseResponses(vm, forMs));
        }
    }

    /** Cuts the links of one or of all entry nodes to every endpoint; callers and control nodes still reach them. */
    private void cutFromEndpoints(long forMs) {
        final FaultInjectionProxy.Mode mode = CUTS.get(random.nextInt(CUTS.size()));
        final int entries = nodes.addresses().entries();
        final boolean all = random.nextInt(4) == 0;
        final int one = random.nextInt(entries);
        for (int entry = all ? 0 : one; entry < (all ? entries : one + 1); entry++) {
            final int cut = entry;
            start("cut entry-" + cut + " from endpoints, " + mode, () -> {
                excuseCut(cut);
                final long startNanos = System.nanoTime();
                endpoints.proxies().setMode(cut, mode);
                Await.sleepMs(forMs);
                endpoints.proxies().setMode(cut, FaultInjectionProxy.Mode.FORWARD);
                endpoints.guarantees().cutResponses().recordLinkFault(cut, startNanos);
                excuseCut(cut);
            });
        }
    }

    private void excuseCut(int entry) {
        endpoints.guarantees().sendRestrictions().excusePauses(entry);
        endpoints.guarantees().limits().excuse(entry);
    }

    private void loseDisk(int control, long forMs) {
        if (disksLost < SoakNodes.TOLERATED_LOSSES) {
            disksLost++;
            start("lose the disk of control " + control, () -> nodes.killAndRestart(control, forMs, true));
        }
    }

    private void disturbNetwork(int control, FaultInjectionProxy.Mode mode, long forMs) {
        nodes.setProxyMode(control, mode);
        Await.sleepMs(forMs);
        nodes.setProxyMode(control, FaultInjectionProxy.Mode.FORWARD);
    }

    private static void crash(FakeEndpointVm vm, long forMs) {
        vm.crash();
        Await.sleepMs(forMs);
        vm.restart();
    }

    private static void makeUnresponsive(FakeEndpointVm vm, long forMs) {
        vm.setUnresponsive(true);
        Await.sleepMs(forMs);
        vm.setUnresponsive(false);
    }

    private static void leave(FakeEndpointVm vm, long forMs) {
        vm.leave(forMs);
        Await.sleepMs(forMs);
        vm.restart();
    }

    private static void loseResponses(FakeEndpointVm vm, long forMs) {
        vm.loseResponses(0.3);
        Await.sleepMs(forMs);
        vm.loseResponses(0);
    }

    /** Starts a fault of a process, which is excused from what endpoints told it before and meanwhile. */
    private void startAtNode(String fault, int node, Runnable action) {
        start(fault + nodes.name(node), () -> {
            nodes.excuse(node);
            action.run();
            nodes.excuse(node);
        });
    }

    private void start(String description, Runnable fault) {
        injected.add(description);
        final Thread thread = new Thread(fault, description);
        thread.setDaemon(true);
        faultThreads.add(thread);
        thread.start();
    }
}
