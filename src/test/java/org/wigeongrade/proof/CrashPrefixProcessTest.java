package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.bench.Workload;
import org.wigeongrade.standin.JournalEvent;

/**
 * Different requests that begin with the same text crash every engine that runs one; they arrive at all entry VMs while
 * normal load continues.
 */
@Tag("process")
final class CrashPrefixProcessTest {
    private static final int ENGINES = 12;
    private static final int REQUESTS = 14;
    /** Crashes after which the fleet has to know what they have in common, and requests that may still be sent then. */
    private static final int MAX_CRASHES = 5 + 3;
    /** Longer than the blocks of a prompt by which requests are compared. */
    private static final String CRASHING_PREFIX =
            "crash-engine " + "summarise the conditions of the rental ".repeat(12);

    @TempDir
    Path folder;

    /** Crashes are counted by what requests share, since no two of those that crash engines are alike. */
    @Test
    void requestsThatShareACrashingPrefixCrashFewEngines() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            final List<String> vms = IntStream.rangeClosed(1, ENGINES)
                    .mapToObj(number -> "vm-" + number)
                    .toList();
            for (final String vm : vms) {
                final var unused = fleet.startEngines(vm, "--cold-requests", "2");
            }
            final long unused = fleet.apply(
                    DeclaredSetToml.base() + DeclaredSetToml.pool(ENGINES, 1, 8, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(4, Workload.CHAT, 6);
                Await.until(
                        "successful responses",
                        20_000,
                        () -> Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK) > 40);
                for (int number = 0; number < REQUESTS; number++) {
                    final String entry = fleet.entryAddresses().get(number % 3);
                    assertThat(clients.generateAt(entry, 99, Workload.CHAT, "request " + number, CRASHING_PREFIX, 6)
                                    .isOk())
                            .isFalse();
                    Await.sleepMs(300);
                }
                final long servedBefore = Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK);
                Await.until(
                        "requests without the prefix served",
                        10_000,
                        () -> Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK)
                                > servedBefore + 40);
            }

            final long crashes = fleet.journal().stream()
                    .filter(entry -> entry.event() == JournalEvent.CRASHED)
                    .count();
            assertThat(crashes).isAtLeast(1);
            assertThat(crashes).isAtMost(MAX_CRASHES);
            assertThat(FalseNotRunChecker.check(ClientThreads.GENERATE, recorder.history(), fleet.journal()))
                    .isEmpty();
        }
    }
}
