package org.wigeongrade.platform.soak;

import java.util.List;
import java.util.Random;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.FaultInjectionProxy;

/**
 * Chooses faults that mislead the leader about groups: freezes around its lease, cuts between some VMs only, late and
 * refused orders, late heartbeats, and endpoint VMs that restart under their id. Not thread safe.
 */
final class GroupFaults {
    /** A fault that ends by itself. */
    record Fault(String description, Runnable action) {}

    private static final int KINDS = 13;
    private static final long LEASE_MS = 500;
    private static final int LEASE_SPREAD_MS = 100;
    private static final int MAX_FAULT_MS = 4_000;
    private static final int ROLLING_INTERVAL_MS = 1_500;
    private static final int CUT_VMS = 6;
    /** Statuses that say nothing of a VM's state. A VM never answers 409 unless its state is another one. */
    private static final List<Integer> INCONCLUSIVE_STATUSES = List.of(412, 500, 503);

    private static final List<FaultInjectionProxy.Mode> CUTS = List.of(
            FaultInjectionProxy.Mode.PARTITION,
            FaultInjectionProxy.Mode.DROP_TO_TARGET,
            FaultInjectionProxy.Mode.RESET_AND_REFUSE,
            FaultInjectionProxy.Mode.REFUSE_NEW);

    private final SoakNodes nodes;
    private final FakeEndpointFleet endpoints;
    private final Random random;

    GroupFaults(SoakNodes nodes, FakeEndpointFleet endpoints, Random random) {
        this.nodes = nodes;
        this.endpoints = endpoints;
        this.random = random;
    }

    Fault next() {
        final int control = random.nextInt(nodes.addresses().controls());
        final FakeEndpointVm vm = endpoints.pickEngine(random);
        final long forMs = 300L + random.nextInt(MAX_FAULT_MS);
        final FaultInjectionProxy.Mode cut = CUTS.get(random.nextInt(CUTS.size()));
        return switch (random.nextInt(KINDS)) {
            case 0 -> {
                final long leaseMs = LEASE_MS + random.nextInt(LEASE_SPREAD_MS);
                yield new Fault(
                        "pause control-" + control + " for " + leaseMs + " ms", () -> nodes.pause(control, leaseMs));
            }
            case 1 ->
                new Fault("pause control-" + control + " for " + forMs + " ms", () -> nodes.pause(control, forMs));
            case 2 ->
                new Fault(
                        "cut peers from control-" + control + ", " + cut,
                        () -> nodes.cutFromPeers(List.of(control), cut, forMs));
            case 3 ->
                new Fault(
                        "cut control nodes from each other, " + cut,
                        () -> nodes.cutFromPeers(nodes.controls(), cut, forMs));
            case 4 -> cutVms(List.of(vm), cut, forMs);
            case 5 -> cutVms(endpoints.pickEngines(random, CUT_VMS), cut, forMs);
            case 6 ->
                new Fault(
                        "hold up heartbeats of " + vm.name(),
                        () -> vm.controlLink().disturb(ControlLink.Mode.HOLD_UP, forMs));
            case 7 ->
                new Fault(
                        "carry out orders late at " + vm.name(),
                        () -> vm.orderFaults().delayOrders(forMs));
            case 8 -> {
                final int status = INCONCLUSIVE_STATUSES.get(random.nextInt(INCONCLUSIVE_STATUSES.size()));
                yield new Fault(
                        "refuse orders with " + status + " at " + vm.name(),
                        () -> vm.orderFaults().refuseOrders(status, forMs));
            }
            case 9 -> new Fault("restart under its id " + vm.name(), vm::crashAndRestart);
            case 10 -> restartBehindCut(vm, cut, forMs);
            case 11 -> new Fault("restart control nodes in turn", () -> restartInTurn(nodes.controls()));
            default -> new Fault("restart entry nodes in turn", () -> restartInTurn(nodes.entries()));
        };
    }

    private Fault cutVms(List<FakeEndpointVm> vms, FaultInjectionProxy.Mode cut, long forMs) {
        final String names = vms.stream().map(FakeEndpointVm::name).toList().toString();
        final boolean withHeartbeats = random.nextInt(4) != 0;
        return new Fault("cut control nodes from " + names + ", " + cut, () -> {
            vms.forEach(vm -> endpoints.proxies().setControlMode(vm.port(), cut));
            if (withHeartbeats) {
                vms.parallelStream().forEach(vm -> vm.controlLink().disturb(heartbeats(cut), forMs));
            } else {
                Await.sleepMs(forMs);
            }
            vms.forEach(vm -> endpoints.proxies().setControlMode(vm.port(), FaultInjectionProxy.Mode.FORWARD));
        });
    }

    private Fault restartBehindCut(FakeEndpointVm vm, FaultInjectionProxy.Mode cut, long forMs) {
        return new Fault("restart behind a cut " + vm.name() + ", " + cut, () -> {
            endpoints.proxies().setControlMode(vm.port(), cut);
            vm.crashAndRestart();
            vm.controlLink().disturb(heartbeats(cut), forMs);
            endpoints.proxies().setControlMode(vm.port(), FaultInjectionProxy.Mode.FORWARD);
        });
    }

    private static ControlLink.Mode heartbeats(FaultInjectionProxy.Mode cut) {
        return cut == FaultInjectionProxy.Mode.PARTITION ? ControlLink.Mode.HOLD_UP : ControlLink.Mode.LOSE;
    }

    private void restartInTurn(List<Integer> restarted) {
        restarted.forEach(node -> {
            nodes.excuse(node);
            nodes.stopAndRestart(node, 0);
            nodes.excuse(node);
            Await.sleepMs(ROLLING_INTERVAL_MS);
        });
    }
}
