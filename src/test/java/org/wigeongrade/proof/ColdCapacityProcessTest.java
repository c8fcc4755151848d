package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.bench.Workload;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Sends full load through several entry VMs to engines that start cold, while an entry VM is killed, one engine turns
 * cold without warning and the other is restarted.
 */
@Tag("process")
final class ColdCapacityProcessTest {
    private static final int COLD_CAPACITY = 2;
    private static final long COLD_GRACE_MS = 1_500;

    @TempDir
    Path folder;

    @Test
    void neverExceedsTheColdCapacity() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            for (String vm : List.of("vm-1", "vm-2")) {
                startEngine(fleet, vm);
            }
            long unused = fleet.apply(
                    DeclaredSetToml.base() + DeclaredSetToml.pool(2, 1, 8, COLD_CAPACITY, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(18, Workload.CHAT, 10);
                awaitState(fleet, "vm-1", "warm", 0);
                awaitState(fleet, "vm-2", "warm", 0);
                long beforeNanos = System.nanoTime();
                fleet.process("entry-2").kill();
                turnCold(fleet, "vm-1");
                awaitState(fleet, "vm-1", "warm", beforeNanos);
                fleet.process("entry-2").restart();
                fleet.process("vm-2").kill();
                long killedNanos = System.nanoTime();
                Await.sleepMs(500);
                fleet.process("vm-2").restart();
                awaitState(fleet, "vm-2", "warm", killedNanos);
            }

            for (String vm : List.of("vm-1", "vm-2")) {
                assertThat(ColdOverloadChecker.check(fleet.journal(vm), COLD_CAPACITY, COLD_GRACE_MS))
                        .isEmpty();
                assertThat(count(fleet.journal(vm), JournalEvent.FELL_OVER)).isEqualTo(0);
            }
            assertThat(WrongAnswerChecker.check(recorder.history())).isEmpty();
        }
    }

    private static void startEngine(ProcessFleet fleet, String vm) {
        ManagedProcess unused = fleet.startEngines(
                vm,
                "--cold-requests",
                "12",
                "--cold-capacity",
                Integer.toString(COLD_CAPACITY),
                "--cold-grace-ms",
                Long.toString(COLD_GRACE_MS),
                "--token-ms",
                "10");
    }

    private static void turnCold(ProcessFleet fleet, String vm) {
        assertThat(Http.trySend("POST", fleet.standinAddress(vm), "/standin/faults", "{\"turn_cold\":true}"))
                .isPresent();
    }

    private static void awaitState(ProcessFleet fleet, String vm, String state, long sinceNanos) {
        Await.until(
                vm + " is " + state,
                20_000,
                () -> fleet.journal(vm).stream()
                        .anyMatch(entry -> entry.event() == JournalEvent.STATE
                                && state.equals(entry.state())
                                && entry.atNanos() > sinceNanos));
    }

    private static long count(List<JournalEntry> journal, JournalEvent event) {
        return journal.stream().filter(entry -> entry.event() == event).count();
    }
}
