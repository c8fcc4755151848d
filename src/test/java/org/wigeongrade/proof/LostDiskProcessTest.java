package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Control VMs lose their data folders one after another; another VM is killed right after the first repair. */
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
            final long acceptedWithoutEntry1;
            try (ConcurrentOperators operators = new ConcurrentOperators(fleet.entryAddresses(), recorder)) {
                operators.start(2);
                Await.sleepMs(2_000);
                loseDisk(fleet, recorder, "entry-2");
                Await.sleepMs(REPAIR_MS);
                fleet.process("entry-1").kill();
                recorder.recordAction("kill", "entry-1");
                acceptedBefore = acceptedChanges(recorder);
                Await.until(
                        "changes accepted without entry-1",
                        10_000,
                        () -> acceptedChanges(recorder) > acceptedBefore + 3);
                acceptedWithoutEntry1 = acceptedChanges(recorder);
                fleet.process("entry-1").restart();
                Await.until("entry-1 is healthy", 15_000, () -> Http.isHealthy(fleet.entryAddress("entry-1")));
                Await.sleepMs(REPAIR_MS);
                loseDisk(fleet, recorder, "entry-3");
                Await.sleepMs(REPAIR_MS);
            }
            Await.sleepMs(IN_FORCE_MS);
            try (ConcurrentOperators finalReader = new ConcurrentOperators(fleet.entryAddresses(), recorder)) {
                fleet.entryAddresses().forEach(finalReader::readOnce);
            }
            List<HistoryEvent> history = recorder.history();
            assertThat(ConfigurationChecker.check(history, IN_FORCE_MS)).isEmpty();
            assertThat(acceptedWithoutEntry1).isGreaterThan(acceptedBefore);
            assertThat(acceptedChanges(recorder)).isAtLeast(MIN_ACCEPTED);
        }
    }

    private static void loseDisk(ProcessFleet fleet, HistoryRecorder recorder, String name) {
        fleet.process(name).kill();
        fleet.deleteDataFolder(name);
        recorder.recordAction("lost_disk", name);
        fleet.process(name).restart();
        Await.until(name + " is healthy", 15_000, () -> Http.isHealthy(fleet.entryAddress(name)));
    }

    private static long acceptedChanges(HistoryRecorder recorder) {
        return Histories.count(recorder.history(), ConfigurationChecker.APPLY, Phase.OK);
    }
}
