package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.fleet.thrift.PullReply;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.proof.Await;

/**
 * Heartbeats of another writer with odd values were accepted. One with the address of a sound VM and a start time that no
 * later one exceeds took that VM out of use for good.
 */
@Tag("process")
final class OddHeartbeatsProcessTest {
    private static final String CONFIGURATION = """
            {"version":7,"routes":[],"services":[{"name":"ledger","maxConnections":49}]}""";
    private static final String SOUND = """
            {"service":"ledger","address":"127.82.2.1:8080","zone":"zone-a","version":"v1","slots":6,"state":"ready",
            "coldRemainingMs":0,"born":1700000000000,"sequence":%d}""";
    private static final int CHECKS = 5;
    private static final int BAD_REQUEST = 400;

    /** Replacements in the heartbeat of the sound VM. */
    private static final List<List<String>> ODD_VALUES = List.of(
            List.of("1700000000000", "9223372036854775807"),
            List.of("\"coldRemainingMs\":0", "\"coldRemainingMs\":1e400"),
            List.of("\"slots\":6", "\"slots\":2147483647"),
            List.of("127.82.2.1:8080", "0.0.0.0:8080"),
            List.of("127.82.2.1:8080", "127.82.2.1:99999"),
            List.of("\"slots\":6", "\"slots\":" + "[".repeat(10_000) + "]".repeat(10_000)),
            List.of(
                    "\"coldRemainingMs\":0",
                    "\"coldRemainingMs\":0,\"group\":{\"name\":\"g1\",\"epoch\":9223372036854775807,\"rank\":0,"
                            + "\"state\":\"open\"}"));

    @TempDir
    private Path folder;

    @Test
    void soundVmStaysInUse() {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            fleet.publish(CONFIGURATION);
            int sequence = 1;
            final int leader = fleet.awaitLeader();
            Await.sleepMs(3L * FleetProcesses.HEARTBEAT_MS);
            for (final List<String> oddValue : ODD_VALUES) {
                final String odd = SOUND.formatted(sequence).replace(oddValue.get(0), oddValue.get(1));
                for (final String vm : List.of("i-odd", "i-sound")) {
                    assertWithMessage(oddValue.get(1))
                            .that(fleet.statusOf(leader, "POST", "/-/instances/" + vm + "/heartbeat", odd))
                            .isEqualTo(BAD_REQUEST);
                }
                sequence++;
                assertThat(fleet.statusOf(leader, "POST", "/-/instances/i-sound/heartbeat", SOUND.formatted(sequence)))
                        .isEqualTo(200);
            }
            assertThat(fleet.statusOf(
                            leader, "POST", "/-/instances/i-sound/deregister", "{\"born\":9223372036854775807}"))
                    .isEqualTo(BAD_REQUEST);
            for (int check = 0; check < CHECKS; check++) {
                Await.sleepMs(FleetProcesses.HEARTBEAT_MS / 2);
                assertThat(routable(fleet, leader)).containsExactly("i-sound");
            }
            fleet.processes().forEach(process -> assertThat(process.isAlive()).isTrue());
        }
    }

    /** A head that served was taken for ended, and its members were used elsewhere. */
    @Test
    void heartbeatForAServiceThatIsNotConfiguredChangesNothing() {
        try (FleetProcesses fleet = new FleetProcesses(folder, 3, 1)) {
            fleet.publish(CONFIGURATION);
            final int leader = fleet.awaitLeader();
            Await.sleepMs(3L * FleetProcesses.HEARTBEAT_MS);
            final String newer = SOUND.replace("1700000000000", "1700000000001");
            int sequence = 1;
            for (final String vm : List.of("i-odd", "i-sound")) {
                for (int node = 0; node < 3; node++) {
                    final String unnamed = newer.formatted(sequence).replace("ledger", "another-tool");
                    assertThat(fleet.statusOf(node, "POST", "/-/instances/" + vm + "/heartbeat", unnamed))
                            .isEqualTo(200);
                    sequence++;
                    assertThat(fleet.statusOf(
                                    leader, "POST", "/-/instances/i-sound/heartbeat", SOUND.formatted(sequence)))
                            .isEqualTo(200);
                    Await.sleepMs(FleetProcesses.HEARTBEAT_MS / 2);
                    assertWithMessage("heartbeat of %s at node %s", vm, node)
                            .that(routable(fleet, leader))
                            .containsExactly("i-sound");
                }
            }
        }
    }

    private static List<String> routable(FleetProcesses fleet, int leader) {
        return Optional.of(leader).flatMap(fleet::pull).map(PullReply::getChanged).orElse(List.of()).stream()
                .map(RoutableRecord::getVm)
                .toList();
    }
}
