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

/** Kills one member of a group of two VMs under load while a third VM of the same fabric domain is free. */
@Tag("process")
final class MemberLossProcessTest {
    private static final long GRACE_MS = 5_000;

    @TempDir
    Path folder;

    @ParameterizedTest(name = "member {0} is killed")
    @ValueSource(ints = {1})
    void groupStopsServingAndIsRepaired(int rank) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            for (String vm : List.of("vm-1", "vm-2", "vm-3")) {
                fleet.startEngines(vm, "--cold-requests", "2");
            }
            long unused =
                    fleet.apply(DeclaredSetToml.base() + DeclaredSetToml.pool(1, 2, 8, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(4, Workload.CHAT, 6);
                Await.until(
                        "requests started in the group",
                        15_000,
                        () -> !startedRequests(fleet).isEmpty());
                Await.sleepMs(1_000);
                String killedVm = startedRequests(fleet).get(0).members().get(rank);
                fleet.process(killedVm).kill();
                long killedNanos = System.nanoTime();
                recorder.recordAction("kill", killedVm);

                Await.until(
                        "repaired",
                        20_000,
                        () -> startedRequests(fleet).stream()
                                .anyMatch(entry -> !entry.members().contains(killedVm)));
                Await.sleepMs(Math.max(0, GRACE_MS + 1_500 - (System.nanoTime() - killedNanos) / 1_000_000));

                assertThat(ServedWithMissingMemberChecker.check(fleet.journal(), killedVm, killedNanos, GRACE_MS))
                        .isEmpty();
                assertThat(MemberOfAnotherGroupChecker.check(fleet.journal())).isEmpty();
            }
            assertThat(WrongAnswerChecker.check(recorder.history())).isEmpty();
        }
    }

    private static List<JournalEntry> startedRequests(ProcessFleet fleet) {
        return fleet.journal().stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED)
                .toList();
    }
}
