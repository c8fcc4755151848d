package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.bench.CallResult;
import org.wigeongrade.bench.Workload;
import org.wigeongrade.standin.JournalEvent;

/** A request crashes every engine that runs it; its client resends it to all entry VMs while normal load continues. */
@Tag("process")
final class CrashRequestProcessTest {
    private static final int RESENDS = 9;
    private static final int MAX_CRASHES = 2;

    @TempDir
    Path folder;

    @Test
    void crashesAtMostTwoEngines() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            List<String> vms = List.of("vm-1", "vm-2", "vm-3", "vm-4", "vm-5");
            for (String vm : vms) {
                fleet.startEngines(vm, "--cold-requests", "2");
            }
            long unused =
                    fleet.apply(DeclaredSetToml.base() + DeclaredSetToml.pool(4, 1, 8, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(4, Workload.CHAT, 6);
                Await.until(
                        "successful responses",
                        20_000,
                        () -> Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK) > 40);
                for (int i = 0; i < RESENDS; i++) {
                    CallResult result = clients.generateAt(
                            fleet.entryAddresses().get(i % 3), 99, Workload.CHAT, "crash-engine", "", 6);
                    assertThat(result.isOk()).isFalse();
                    Await.sleepMs(300);
                }
            }

            long crashes = fleet.journal().stream()
                    .filter(entry -> entry.event() == JournalEvent.CRASHED)
                    .count();
            assertThat(crashes).isAtLeast(1);
            assertThat(crashes).isAtMost(MAX_CRASHES);
            assertThat(WrongAnswerChecker.check(recorder.history())).isEmpty();
            assertThat(FalseNotRunChecker.check(ClientThreads.GENERATE, recorder.history(), fleet.journal()))
                    .isEmpty();
        }
    }
}
