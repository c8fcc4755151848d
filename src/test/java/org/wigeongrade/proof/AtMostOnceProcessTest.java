package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.standin.JournalEntry;

/**
 * Sends non-idempotent calls while half of the service's responses are dropped and entry VMs are killed, frozen and
 * restarted; clients retry with the same idempotency key at other entry VMs.
 */
@Tag("process")
final class AtMostOnceProcessTest {
    private static final int MIN_COMPLETED_CHARGES = 20;

    @TempDir
    Path folder;

    @Test
    void runsEachCallAtMostOnceAndReportsItsOutcomeCorrectly() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            fleet.startServices("ledger-1", "--drop-answers-ratio", "0.5", "--work-ms", "20", "--seed", "11");
            fleet.startServices("ledger-2", "--drop-answers-ratio", "0.5", "--work-ms", "20", "--seed", "12");
            long unused = fleet.apply(DeclaredSetToml.base() + DeclaredSetToml.service("ledger"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startChargeClients(6);
                clients.startChargeOnceClients(2);
                injectFaults(fleet, recorder);
            }

            List<JournalEntry> journal = fleet.journal();
            List<HistoryEvent> history = recorder.history();
            assertThat(ExecutedTwiceChecker.check(journal)).isEmpty();
            for (String function : List.of(ClientThreads.CHARGE, ClientThreads.CHARGE_ONCE)) {
                assertThat(OkWithoutExecutionChecker.check(function, history, journal))
                        .isEmpty();
                assertThat(FalseNotRunChecker.check(function, history, journal)).isEmpty();
            }
            assertWithMessage(fleet.recentOutputs())
                    .that(Histories.count(history, ClientThreads.CHARGE, Phase.OK))
                    .isAtLeast(MIN_COMPLETED_CHARGES);
        }
    }

    private static void injectFaults(ProcessFleet fleet, HistoryRecorder recorder) {
        Await.until(
                "a completed charge",
                10_000,
                () -> Histories.count(recorder.history(), ClientThreads.CHARGE, Phase.OK) > 0);
        Await.sleepMs(1_000);
        fleet.process("entry-2").kill();
        recorder.recordAction("kill", "entry-2");
        Await.sleepMs(2_000);
        fleet.process("entry-2").restart();
        Await.sleepMs(1_500);
        fleet.process("entry-1").freeze();
        recorder.recordAction("freeze", "entry-1");
        Await.sleepMs(4_000);
        fleet.process("entry-1").resume();
        recorder.recordAction("resume", "entry-1");
        Await.sleepMs(1_500);
        fleet.process("entry-3").kill();
        recorder.recordAction("kill", "entry-3");
        Await.sleepMs(2_500);
        fleet.process("entry-3").restart();
        Await.sleepMs(2_000);
    }
}
