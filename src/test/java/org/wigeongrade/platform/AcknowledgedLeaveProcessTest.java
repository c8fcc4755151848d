package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.ManagedProcess;

/**
 * An acknowledged deregistration, or an acknowledged heartbeat that says that a VM drains, was lost with the control VM
 * that acknowledged it, so that the next leader listed the VM as routable again.
 */
@Tag("process")
final class AcknowledgedLeaveProcessTest {
    private static final int CONTROLS = 3;
    private static final int LOSSES_BORNE = 1;
    private static final String CONFIGURATION = """
            {"version":7,"routes":[],"services":[{"name":"ledger","maxConnections":49}]}""";
    private static final String STAYING = "i-0";
    private static final String DEREGISTERED = "i-1";
    private static final String DEREGISTERED_WITHOUT_BORN = "i-2";
    private static final String DRAINING = "i-3";
    private static final List<String> VMS = List.of(STAYING, DEREGISTERED, DEREGISTERED_WITHOUT_BORN, DRAINING);
    private static final long BORN_MS = 1_700_000_000_000L;
    /** Time for the start of all nodes and for some heartbeats, in milliseconds. */
    private static final int HEARTBEATS_BEFORE = 6;
    /** A VM without a heartbeat stays routable for four intervals; one more, so that none is missed. */
    private static final long CHECKED_MS = 5L * FleetProcesses.HEARTBEAT_MS;

    private static final long POLL_MS = 100;
    private static final long TAKEOVER_TIMEOUT_MS = 15_000;

    @TempDir
    private Path folder;

    /** What happens to control VMs right after the leader has acknowledged. */
    private enum Fault {
        LEADER_KILLED {
            @Override
            void inject(FleetProcesses controls, int leader) {
                controls.process(leader).kill();
            }
        },
        LEADER_STOPPED {
            @Override
            void inject(FleetProcesses controls, int leader) {
                controls.process(leader).terminate();
            }
        },
        LEADER_FROZEN {
            @Override
            void inject(FleetProcesses controls, int leader) {
                controls.process(leader).freeze();
            }
        },
        ALL_KILLED_AND_RESTARTED {
            @Override
            void inject(FleetProcesses controls, int leader) {
                controls.processes().forEach(ManagedProcess::kill);
                IntStream.range(0, CONTROLS).forEach(controls::restart);
            }
        };

        abstract void inject(FleetProcesses controls, int leader);
    }

    @ParameterizedTest
    @EnumSource(Fault.class)
    void leavingVmStaysUnusedAfter(Fault fault) {
        try (FleetProcesses controls = new FleetProcesses(folder, CONTROLS, LOSSES_BORNE)) {
            controls.publish(CONFIGURATION);
            for (int sequence = 1; sequence <= HEARTBEATS_BEFORE; sequence++) {
                for (final String vm : VMS) {
                    heartbeat(controls, vm, sequence, "ready");
                }
                Await.sleepMs(FleetProcesses.HEARTBEAT_MS);
            }
            final int leader = controls.awaitLeader();
            assertThat(routable(controls)).containsExactlyElementsIn(VMS);

            final int next = HEARTBEATS_BEFORE + 1;
            assertThat(controls.statusOf(
                            leader, "POST", path(DEREGISTERED, "deregister"), "{\"born\":" + BORN_MS + "}"))
                    .isEqualTo(200);
            assertThat(controls.statusOf(leader, "POST", path(DEREGISTERED_WITHOUT_BORN, "deregister"), ""))
                    .isEqualTo(200);
            assertThat(controls.statusOf(
                            leader, "POST", path(DRAINING, "heartbeat"), heartbeatBody(DRAINING, next, "draining")))
                    .isEqualTo(200);
            fault.inject(controls, leader);

            Await.until("another leader", TAKEOVER_TIMEOUT_MS, () -> {
                heartbeat(controls, STAYING, (int) System.nanoTime() & Integer.MAX_VALUE, "ready");
                return routable(controls).contains(STAYING);
            });
            // Delayed heartbeats from before the VMs said that they leave.
            for (final String vm : Set.of(DEREGISTERED, DEREGISTERED_WITHOUT_BORN, DRAINING)) {
                heartbeat(controls, vm, HEARTBEATS_BEFORE, "ready");
            }
            for (long checkedMs = 0; checkedMs < CHECKED_MS; checkedMs += POLL_MS) {
                assertWithMessage("routable %s ms after the takeover", checkedMs)
                        .that(routable(controls))
                        .containsNoneOf(DEREGISTERED, DEREGISTERED_WITHOUT_BORN, DRAINING);
                Await.sleepMs(POLL_MS);
            }
            controls.process(leader).resume();
        }
    }

    private static String path(String vm, String call) {
        return "/-/instances/" + vm + "/" + call;
    }

    private static void heartbeat(FleetProcesses controls, String vm, int sequence, String state) {
        final var unused = controls.firstAcknowledging(path(vm, "heartbeat"), heartbeatBody(vm, sequence, state));
    }

    private static String heartbeatBody(String vm, int sequence, String state) {
        return """
                {"service":"ledger","address":"127.82.2.%s:8080","zone":"zone-a","version":"v1","slots":6,"state":"%s",
                "coldRemainingMs":0,"born":%d,"sequence":%d}""".formatted(vm.substring(2), state, BORN_MS, sequence);
    }

    /** Returns the VMs that some leader lists as routable. */
    private static Set<String> routable(FleetProcesses controls) {
        final Set<String> vms = new TreeSet<>();
        for (int control = 0; control < CONTROLS; control++) {
            controls.pull(control)
                    .ifPresent(reply -> reply.getChanged().stream()
                            .map(RoutableRecord::getVm)
                            .forEach(vms::add));
        }
        return vms;
    }
}
