package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.bench.Workload;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/** A member of a group of two VMs is lost under load; a third VM of the same fabric domain is free. */
@Tag("process")
final class MemberLossProcessTest {
    private static final long GRACE_MS = 5_000;

    @TempDir
    Path folder;

    @ParameterizedTest(name = "member {0} is killed")
    @ValueSource(ints = {1})
    void stopsServingAndIsRepaired(int rank) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
                fleet.engines(vm, "--cold-requests", "2");
            }
            long unused = fleet.apply(Operators.basics() + Operators.pool(1, 2, 8, 2, "zone-a"), 0, "change-1");
            try (Callers callers = new Callers(fleet.entries(), recorder)) {
                callers.startGenerating(4, Workload.CHAT, 6);
                Await.until("work in the group", 15_000, () -> !starts(fleet).isEmpty());
                Await.sleepMs(1_000);
                String victim = starts(fleet).get(0).members().get(rank);
                fleet.process(victim).kill();
                long diedNanos = System.nanoTime();
                recorder.note("kill", victim);

                Await.until(
                        "repaired",
                        20_000,
                        () -> starts(fleet).stream()
                                .anyMatch(entry -> !entry.members().contains(victim)));
                Await.sleepMs(Math.max(0, GRACE_MS + 1_500 - (System.nanoTime() - diedNanos) / 1_000_000));

                assertThat(ServedWithMissingMember.check(fleet.journal(), victim, diedNanos, GRACE_MS))
                        .isEmpty();
                assertThat(MemberOfAnotherGroup.check(fleet.journal())).isEmpty();
            }
            assertThat(WrongAnswer.check(recorder.history())).isEmpty();
        }
    }

    private static List<JournalEntry> starts(ProcessFleet fleet) {
        return fleet.journal().stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED)
                .toList();
    }
}
