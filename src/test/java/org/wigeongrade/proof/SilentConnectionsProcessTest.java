package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Every open connection between nodes goes silent for good, three times, while new connections work. */
@Tag("process")
final class SilentConnectionsProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final int ROUNDS = 3;

    @TempDir
    Path folder;

    @Test
    void areFoundAndReplaced() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0, true);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            try (RacingOperators operators = new RacingOperators(fleet.entries(), recorder)) {
                operators.start(2);
                for (int round = 0; round < ROUNDS; round++) {
                    Await.sleepMs(2_000);
                    fleet.silenceOpenConnections();
                    recorder.note("silence", "all open connections");
                    long before = accepted(recorder);
                    Await.until("changes again", IN_FORCE_MS, () -> accepted(recorder) > before + 1);
                    Await.until(
                            "all healthy",
                            IN_FORCE_MS,
                            () -> fleet.entries().stream().allMatch(Http::isHealthy));
                }
            }
            Await.sleepMs(IN_FORCE_MS);
            try (RacingOperators last = new RacingOperators(fleet.entries(), recorder)) {
                fleet.entries().forEach(last::readOnce);
            }
            List<HistoryEvent> history = recorder.history();
            assertThat(ConfigurationRegister.check(history, IN_FORCE_MS)).isEmpty();
        }
    }

    private static long accepted(HistoryRecorder recorder) {
        return Histories.count(recorder.history(), ConfigurationRegister.APPLY, Phase.OK);
    }
}
