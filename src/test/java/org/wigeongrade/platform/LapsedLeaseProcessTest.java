package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.proof.Await;

/**
 * A leader whose lease lapsed and was renewed in the same term began its plans again under the same fencing token: it gave
 * epochs and change numbers out twice, so that a group opened with a member that had never joined it.
 */
@Tag("process")
final class LapsedLeaseProcessTest {
    private static final int LEADER = 0;
    private static final int VMS = 4;
    private static final long TIMEOUT_MS = 15_000;
    private static final String CONFIGURATION = """
            {"version":%d,"routes":[],"services":[{"name":"ledger","maxConnections":49}]}""";

    @TempDir
    private Path folder;

    private int sequence;

    @Test
    void changeNumbersGoOnInTheSameTerm() {
        try (FleetProcesses fleet = new FleetProcesses(folder, 1, 0)) {
            fleet.publish(CONFIGURATION.formatted(1));
            Await.until("all VMs are routable", TIMEOUT_MS, () -> {
                sendHeartbeats(fleet);
                return fleet.pull(LEADER)
                        .filter(reply -> reply.getChanged().size() == VMS)
                        .isPresent();
            });
            assertThat(fleet.statusOf(LEADER, "POST", "/-/instances/i-0/deregister", ""))
                    .isEqualTo(200);
            Await.until(
                    "one VM has left",
                    TIMEOUT_MS,
                    () -> fleet.pull(LEADER)
                            .filter(reply -> reply.getChanged().size() == VMS - 1)
                            .isPresent());
            final PullReply before = fleet.pull(LEADER).orElseThrow();

            // A replica whose disk is full does not lead; it goes on in its term once there is space.
            fleet.process(LEADER).fillDisk(0);
            assertThat(fleet.tryPublish(CONFIGURATION.formatted(2))).isFalse();
            Await.until("the lease lapses", TIMEOUT_MS, () -> fleet.pull(LEADER).isEmpty());
            fleet.process(LEADER).freeDisk();
            Await.until("the lease is renewed", TIMEOUT_MS, () -> {
                sendHeartbeats(fleet);
                return fleet.pull(LEADER)
                        .filter(reply -> reply.getChanged().size() == VMS - 1)
                        .isPresent();
            });
            final PullReply after = fleet.pull(LEADER).orElseThrow();

            assertThat(after.getTerm()).isEqualTo(before.getTerm());
            assertThat(after.getChangeNumber()).isAtLeast(before.getChangeNumber());
        }
    }

    private void sendHeartbeats(FleetProcesses fleet) {
        sequence++;
        IntStream.range(0, VMS).forEach(vm -> {
            final var unused = fleet.statusOf(
                    LEADER, "POST", "/-/instances/i-" + vm + "/heartbeat", """
                    {"service":"ledger","address":"127.82.2.%d:8080","zone":"zone-a","version":"v1","slots":6,
                    "state":"ready","coldRemainingMs":0,"born":1700000000000,"sequence":%d}""".formatted(vm + 1, sequence));
        });
    }
}
