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
 * Non-idempotent calls while half of the service's answers are dropped and entry VMs are killed, frozen and restarted;
 * callers resend with the same key to other entry VMs.
 */
@Tag("process")
final class AtMostOnceProcessTest {
    private static final int MIN_KNOWN_DONE = 20;

    @TempDir
    Path folder;

    @Test
    void runsEachCallAtMostOnceAndTellsTheTruth() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            fleet.services("ledger-1", "--drop-answers-ratio", "0.5", "--work-ms", "20", "--seed", "11");
            fleet.services("ledger-2", "--drop-answers-ratio", "0.5", "--work-ms", "20", "--seed", "12");
            long unused = fleet.apply(Operators.basics() + Operators.service("ledger"), 0, "change-1");
            try (Callers callers = new Callers(fleet.entries(), recorder)) {
                callers.startCharging(6);
                callers.startChargingOnce(2);
                disturb(fleet, recorder);
            }

            List<JournalEntry> journal = fleet.journal();
            List<HistoryEvent> history = recorder.history();
            assertThat(ExecutedTwice.check(journal)).isEmpty();
            for (String function : List.of(Callers.CHARGE, Callers.CHARGE_ONCE)) {
                assertThat(OkWithoutExecution.check(function, history, journal)).isEmpty();
                assertThat(FalseNotRun.check(function, history, journal)).isEmpty();
            }
            assertWithMessage(fleet.outputs())
                    .that(Histories.count(history, Callers.CHARGE, Phase.OK))
                    .isAtLeast(MIN_KNOWN_DONE);
        }
    }

    private static void disturb(ProcessFleet fleet, HistoryRecorder recorder) {
        Await.until("a charge done", 10_000, () -> Histories.count(recorder.history(), Callers.CHARGE, Phase.OK) > 0);
        Await.sleepMs(1_000);
        fleet.process("entry-2").kill();
        recorder.note("kill", "entry-2");
        Await.sleepMs(2_000);
        fleet.process("entry-2").restart();
        Await.sleepMs(1_500);
        fleet.process("entry-1").freeze();
        recorder.note("freeze", "entry-1");
        Await.sleepMs(4_000);
        fleet.process("entry-1").thaw();
        recorder.note("thaw", "entry-1");
        Await.sleepMs(1_500);
        fleet.process("entry-3").kill();
        recorder.note("kill", "entry-3");
        Await.sleepMs(2_500);
        fleet.process("entry-3").restart();
        Await.sleepMs(2_000);
    }
}
