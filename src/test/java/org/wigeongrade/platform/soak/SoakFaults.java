package org.wigeongrade.platform.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.CuttingProxy;

/**
 * Injects faults in overlapping series, drawn from a seed. Each one ends by itself.
 *
 * <p>Invariant: no more disks are lost than the fleet bears. Not thread safe; one thread draws, each fault has its own.
 */
final class SoakFaults {
    private static final int LONGEST_FAULT_MS = 2_500;

    private final SoakNodes nodes;
    private final StandinFleet standins;
    private final Random random;
    private final List<Thread> running = new ArrayList<>();
    private final List<String> injected = new ArrayList<>();
    private int disksLost;

    SoakFaults(SoakNodes nodes, StandinFleet standins, Random random) {
        this.nodes = nodes;
        this.standins = standins;
        this.random = random;
    }

    List<String> injected() {
        return injected;
    }

    /** Injects faults until the time is over, then waits for the last one to end. */
    void run(long forMs) {
        final long startNanos = System.nanoTime();
        while (System.nanoTime() - startNanos < forMs * 1_000_000) {
            inject();
            Await.sleepMs(random.nextInt(900));
        }
        running.forEach(fault -> {
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
        final StandinVm vm = standins.any(random);
        final long forMs = 200L + random.nextInt(LONGEST_FAULT_MS);
        switch (random.nextInt(13)) {
            case 0 -> start("kill " + nodes.name(node), () -> nodes.killAndRestart(node, forMs, false));
            case 1 -> start("stop " + nodes.name(node), () -> nodes.stopAndRestart(node, forMs));
            case 2 -> start("pause " + nodes.name(node), () -> nodes.pause(node, forMs));
            case 3 -> start("silence control " + control, () -> cut(control, CuttingProxy.Mode.SILENT, forMs));
            case 4 -> start("one way to control " + control, () -> cut(control, CuttingProxy.Mode.DEAF, forMs));
            case 5 -> start("delay control " + control, () -> cut(control, CuttingProxy.Mode.DELAYED, forMs));
            case 6 -> start("reset control " + control, () -> nodes.resetConnections(control));
            case 7 -> loseDisk(control, forMs);
            case 8 -> start("crash " + vm.name(), () -> crash(vm, forMs));
            case 9 -> start("darken " + vm.name(), () -> darken(vm, forMs));
            case 10 -> start("leave " + vm.name(), () -> leave(vm, forMs));
            case 11 -> start("fill the disk of control " + control, () -> nodes.fillDisk(control, forMs));
            default -> start("lose answers of " + vm.name(), () -> loseAnswers(vm, forMs));
        }
    }

    private void loseDisk(int control, long forMs) {
        if (disksLost < SoakNodes.LOSSES_BORNE) {
            disksLost++;
            start("lose the disk of control " + control, () -> nodes.killAndRestart(control, forMs, true));
        }
    }

    private void cut(int control, CuttingProxy.Mode mode, long forMs) {
        nodes.cut(control, mode);
        Await.sleepMs(forMs);
        nodes.cut(control, CuttingProxy.Mode.PASS);
    }

    private static void crash(StandinVm vm, long forMs) {
        vm.crash();
        Await.sleepMs(forMs);
        vm.restart();
    }

    private static void darken(StandinVm vm, long forMs) {
        vm.setDark(true);
        Await.sleepMs(forMs);
        vm.setDark(false);
    }

    private static void leave(StandinVm vm, long forMs) {
        vm.leave(forMs);
        Await.sleepMs(forMs);
        vm.restart();
    }

    private static void loseAnswers(StandinVm vm, long forMs) {
        vm.loseAnswers(0.3);
        Await.sleepMs(forMs);
        vm.loseAnswers(0);
    }

    private void start(String what, Runnable fault) {
        injected.add(what);
        final Thread thread = new Thread(fault, what);
        thread.setDaemon(true);
        running.add(thread);
        thread.start();
    }
}
