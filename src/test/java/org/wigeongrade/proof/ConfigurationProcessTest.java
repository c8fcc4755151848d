package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Operators race with equal base revisions while control VMs are killed, frozen, cut off, and all restarted at once. */
@Tag("process")
final class ConfigurationProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final int MIN_ACCEPTED = 20;

    @TempDir
    Path folder;

    @Test
    void isInForceInTimeAndNeverReverts() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0, true);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            try (RacingOperators operators = new RacingOperators(fleet.entries(), recorder)) {
                operators.start(3);
                disturb(fleet, recorder);
            }
            Await.sleepMs(IN_FORCE_MS);
            try (RacingOperators last = new RacingOperators(fleet.entries(), recorder)) {
                fleet.entries().forEach(last::readOnce);
            }

            List<HistoryEvent> history = recorder.history();
            assertThat(ConfigurationRegister.check(history, IN_FORCE_MS)).isEmpty();
            assertWithMessage("%s", Histories.outcomes(history, ConfigurationRegister.APPLY))
                    .that(Histories.count(history, ConfigurationRegister.APPLY, Phase.OK))
                    .isAtLeast(MIN_ACCEPTED);
        }
    }

    private static void disturb(ProcessFleet fleet, HistoryRecorder recorder) {
        Await.sleepMs(2_000);
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            fleet.process(name).kill();
            recorder.note("kill", name);
            Await.sleepMs(1_500);
            fleet.process(name).restart();
            Await.until(name + " is healthy", 10_000, () -> Http.isHealthy(fleet.entry(name)));
        }
        fleet.cut("entry-1", CuttingProxy.Mode.SILENT);
        recorder.note("cut", "entry-1");
        Await.sleepMs(3_000);
        fleet.cut("entry-1", CuttingProxy.Mode.PASS);
        fleet.process("entry-2").freeze();
        recorder.note("freeze", "entry-2");
        Await.sleepMs(3_000);
        fleet.process("entry-2").thaw();
        Await.sleepMs(1_000);
        List.of("entry-1", "entry-2", "entry-3")
                .forEach(name -> fleet.process(name).kill());
        recorder.note("kill", "all");
        List.of("entry-1", "entry-2", "entry-3")
                .forEach(name -> fleet.process(name).restart());
        Await.until(
                "all healthy after restart",
                15_000,
                () -> fleet.entries().stream().allMatch(Http::isHealthy));
    }
}
