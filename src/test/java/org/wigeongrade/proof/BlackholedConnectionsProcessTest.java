package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Black-holes every open connection between nodes permanently, three times, while new connections work. */
@Tag("process")
final class BlackholedConnectionsProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final int ROUNDS = 3;

    @TempDir
    Path folder;

    @Test
    void detectsAndReplacesBlackholedConnections() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0, true);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            try (ConcurrentOperators operators = new ConcurrentOperators(fleet.entryAddresses(), recorder)) {
                operators.start(2);
                for (int round = 0; round < ROUNDS; round++) {
                    Await.sleepMs(2_000);
                    fleet.blackholeOpenConnections();
                    recorder.recordAction("blackhole", "all open connections");
                    long before = acceptedChanges(recorder);
                    Await.until("new changes accepted", IN_FORCE_MS, () -> acceptedChanges(recorder) > before + 1);
                    Await.until(
                            "all healthy",
                            IN_FORCE_MS,
                            () -> fleet.entryAddresses().stream().allMatch(Http::isHealthy));
                }
            }
            Await.sleepMs(IN_FORCE_MS);
            try (ConcurrentOperators finalReader = new ConcurrentOperators(fleet.entryAddresses(), recorder)) {
                fleet.entryAddresses().forEach(finalReader::readOnce);
            }
            List<HistoryEvent> history = recorder.history();
            assertThat(ConfigurationChecker.check(history, IN_FORCE_MS)).isEmpty();
        }
    }

    private static long acceptedChanges(HistoryRecorder recorder) {
        return Histories.count(recorder.history(), ConfigurationChecker.APPLY, Phase.OK);
    }
}
