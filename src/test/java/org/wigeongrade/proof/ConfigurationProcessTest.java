package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Operators concurrently apply changes on the same base revision while control VMs are killed, frozen, disconnected,
 * and all restarted at once.
 */
@Tag("process")
final class ConfigurationProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final int MIN_ACCEPTED = 20;

    @TempDir
    Path folder;

    @Test
    void newRevisionIsInForceInTimeAndNeverReverts() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0, true);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            try (ConcurrentOperators operators = new ConcurrentOperators(fleet.entryAddresses(), recorder)) {
                operators.start(3);
                injectFaults(fleet, recorder);
            }
            Await.sleepMs(IN_FORCE_MS);
            try (ConcurrentOperators finalReader = new ConcurrentOperators(fleet.entryAddresses(), recorder)) {
                fleet.entryAddresses().forEach(finalReader::readOnce);
            }

            List<HistoryEvent> history = recorder.history();
            assertThat(ConfigurationChecker.check(history, IN_FORCE_MS)).isEmpty();
            assertWithMessage("%s", Histories.outcomes(history, ConfigurationChecker.APPLY))
                    .that(Histories.count(history, ConfigurationChecker.APPLY, Phase.OK))
                    .isAtLeast(MIN_ACCEPTED);
        }
    }

    private static void injectFaults(ProcessFleet fleet, HistoryRecorder recorder) {
        Await.sleepMs(2_000);
        for (String name : List.of("entry-1", "entry-2", "entry-3")) {
            fleet.process(name).kill();
            recorder.recordAction("kill", name);
            Await.sleepMs(1_500);
            fleet.process(name).restart();
            Await.until(name + " is healthy", 10_000, () -> Http.isHealthy(fleet.entryAddress(name)));
        }
        fleet.setProxyMode("entry-1", FaultInjectionProxy.Mode.BLACKHOLE);
        recorder.recordAction("cut", "entry-1");
        Await.sleepMs(3_000);
        fleet.setProxyMode("entry-1", FaultInjectionProxy.Mode.FORWARD);
        fleet.process("entry-2").freeze();
        recorder.recordAction("freeze", "entry-2");
        Await.sleepMs(3_000);
        fleet.process("entry-2").resume();
        Await.sleepMs(1_000);
        List.of("entry-1", "entry-2", "entry-3")
                .forEach(name -> fleet.process(name).kill());
        recorder.recordAction("kill", "all");
        List.of("entry-1", "entry-2", "entry-3")
                .forEach(name -> fleet.process(name).restart());
        Await.until(
                "all healthy after restart",
                15_000,
                () -> fleet.entryAddresses().stream().allMatch(Http::isHealthy));
    }
}
