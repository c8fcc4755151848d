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

/** A request crashes each engine that runs it; its caller resends it to every entry VM beside innocent load. */
@Tag("process")
final class CrashRequestProcessTest {
    private static final int RESENDS = 9;
    private static final int MAX_CRASHES = 2;

    @TempDir
    Path folder;

    @Test
    void takesDownTwoEnginesAtMost() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            List<String> vms = List.of("vm-1", "vm-2", "vm-3", "vm-4", "vm-5");
            for (String vm : vms) {
                fleet.engines(vm, "--cold-requests", "2");
            }
            long unused = fleet.apply(Operators.basics() + Operators.pool(4, 1, 8, 2, "zone-a"), 0, "change-1");
            try (Callers callers = new Callers(fleet.entries(), recorder)) {
                callers.startGenerating(4, Workload.CHAT, 6);
                Await.until(
                        "answers", 20_000, () -> Histories.count(recorder.history(), Callers.GENERATE, Phase.OK) > 40);
                for (int i = 0; i < RESENDS; i++) {
                    CallResult result =
                            callers.generateAt(fleet.entries().get(i % 3), 99, Workload.CHAT, "crash-engine", "", 6);
                    assertThat(result.isOk()).isFalse();
                    Await.sleepMs(300);
                }
            }

            long crashes = fleet.journal().stream()
                    .filter(entry -> entry.event() == JournalEvent.CRASHED)
                    .count();
            assertThat(crashes).isAtLeast(1);
            assertThat(crashes).isAtMost(MAX_CRASHES);
            assertThat(WrongAnswer.check(recorder.history())).isEmpty();
            assertThat(FalseNotRun.check(Callers.GENERATE, recorder.history(), fleet.journal()))
                    .isEmpty();
        }
    }
}
