package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.bench.Workload;

/**
 * Engines refuse requests, drop responses, cut them short and send them with wrong ids; then one engine is killed.
 * Compares the outcomes reported to the clients with the engines' journals.
 */
@Tag("process")
final class NotRunProcessTest {
    private static final String FAULTS =
            "{\"refuse_ratio\":0.4,\"drop_answers_ratio\":0.3,\"cut_short_ratio\":0.3,\"wrong_id_ratio\":0.3}";

    @TempDir
    Path folder;

    @Test
    void reportsNotRunOnlyIfNothingRan() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            for (String vm : List.of("vm-1", "vm-2")) {
                fleet.startEngines(vm, "--cold-requests", "2", "--capacity", "4");
            }
            long unused =
                    fleet.apply(DeclaredSetToml.base() + DeclaredSetToml.pool(2, 1, 4, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(8, Workload.CHAT, 6);
                clients.startGenerateClients(8, Workload.COMPLETION_STREAM, 6);
                Await.until(
                        "successful responses",
                        20_000,
                        () -> Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK) > 40);
                for (String vm : List.of("vm-1", "vm-2")) {
                    assertThat(Http.trySend("POST", fleet.standinAddress(vm), "/standin/faults", FAULTS))
                            .isPresent();
                }
                Await.sleepMs(4_000);
                fleet.process("vm-1").kill();
                Await.sleepMs(2_000);
            }

            List<HistoryEvent> history = recorder.history();
            assertThat(FalseNotRunChecker.check(ClientThreads.GENERATE, history, fleet.journal()))
                    .isEmpty();
            assertThat(WrongAnswerChecker.check(history)).isEmpty();
            assertThat(Histories.count(history, ClientThreads.GENERATE, Phase.FAIL))
                    .isGreaterThan(0);
            assertThat(Histories.count(history, ClientThreads.GENERATE, Phase.UNKNOWN))
                    .isGreaterThan(0);
        }
    }
}
