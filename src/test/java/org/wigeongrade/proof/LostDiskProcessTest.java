package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Control VMs lose their data folders one after another, and a second VM is lost right after a repair. */
@Tag("process")
final class LostDiskProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final long REPAIR_MS = 5_000;
    private static final int MIN_ACCEPTED = 20;

    @TempDir
    Path folder;

    @Test
    void keepsEveryAcceptedConfiguration() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            final long acceptedBefore;
            final long acceptedWithout;
            try (RacingOperators operators = new RacingOperators(fleet.entries(), recorder)) {
                operators.start(2);
                Await.sleepMs(2_000);
                loseDisk(fleet, recorder, "entry-2");
                Await.sleepMs(REPAIR_MS);
                fleet.process("entry-1").kill();
                recorder.note("kill", "entry-1");
                acceptedBefore = accepted(recorder);
                Await.until("changes without entry-1", 10_000, () -> accepted(recorder) > acceptedBefore + 3);
                acceptedWithout = accepted(recorder);
                fleet.process("entry-1").restart();
                Await.until("entry-1 is healthy", 15_000, () -> Http.isHealthy(fleet.entry("entry-1")));
                Await.sleepMs(REPAIR_MS);
                loseDisk(fleet, recorder, "entry-3");
                Await.sleepMs(REPAIR_MS);
            }
            Await.sleepMs(IN_FORCE_MS);
            try (RacingOperators last = new RacingOperators(fleet.entries(), recorder)) {
                fleet.entries().forEach(last::readOnce);
            }
            List<HistoryEvent> history = recorder.history();
            assertThat(ConfigurationRegister.check(history, IN_FORCE_MS)).isEmpty();
            assertThat(acceptedWithout).isGreaterThan(acceptedBefore);
            assertThat(accepted(recorder)).isAtLeast(MIN_ACCEPTED);
        }
    }

    private static void loseDisk(ProcessFleet fleet, HistoryRecorder recorder, String name) {
        fleet.process(name).kill();
        fleet.loseDataFolder(name);
        recorder.note("lost_disk", name);
        fleet.process(name).restart();
        Await.until(name + " is healthy", 15_000, () -> Http.isHealthy(fleet.entry(name)));
    }

    private static long accepted(HistoryRecorder recorder) {
        return Histories.count(recorder.history(), ConfigurationRegister.APPLY, Phase.OK);
    }
}
