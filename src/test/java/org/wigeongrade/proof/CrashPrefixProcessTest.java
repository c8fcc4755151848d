package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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

    /**
     * Crashes are counted by what requests share, since no two of those that crash engines are alike. Without other
     * clients, an entry VM sees nothing but crashes and has to find out first that its own links work.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 0})
    void requestsThatShareACrashingPrefixCrashFewEngines(int otherClients) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            final List<String> vms = IntStream.rangeClosed(1, ENGINES)
                    .mapToObj(number -> "vm-" + number)
                    .toList();
            for (final String vm : vms) {
                final var unused = fleet.startEngines(vm, "--cold-requests", "2");
            }
            fleet.awaitStandins();
            final long unused = fleet.apply(
                    DeclaredSetToml.base() + DeclaredSetToml.pool(ENGINES, 1, 8, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(otherClients, Workload.CHAT, 6);
                awaitServed(clients, fleet, recorder, otherClients, 20_000);
                for (int number = 0; number < REQUESTS; number++) {
                    final String entry = fleet.entryAddresses().get(number % 3);
                    assertThat(clients.generateAt(entry, 99, Workload.CHAT, "request " + number, CRASHING_PREFIX, 6)
                                    .isOk())
                            .isFalse();
                    Await.sleepMs(300);
                }
                awaitServed(clients, fleet, recorder, otherClients, 10_000);
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

    /** Waits until further requests without the prefix have been served; sends one itself if there are no clients. */
    private static void awaitServed(
            ClientThreads clients, ProcessFleet fleet, HistoryRecorder recorder, int otherClients, int timeoutMs) {
        final long before = Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK);
        if (otherClients == 0) {
            Await.until(
                    "a request without the prefix served",
                    timeoutMs,
                    () -> clients.generateAt(
                                    fleet.entryAddresses().get(0), 98, Workload.CHAT, "ordinary request", "", 6)
                            .isOk());
            return;
        }
        Await.until(
                "requests without the prefix served",
                timeoutMs,
                () -> Histories.count(recorder.history(), ClientThreads.GENERATE, Phase.OK) > before + 40);
    }
}
