package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.bench.Workload;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/** Takes an availability zone out under load while one entry VM is isolated and cannot learn of it. */
@Tag("process")
final class ZoneOutProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final long ISOLATED_MS = IN_FORCE_MS + 2_000;

    /** How the entry VM is isolated. */
    enum Isolation {
        FROZEN,
        BLACKHOLED;

        void begin(ProcessFleet fleet, String entry) {
            switch (this) {
                case FROZEN -> fleet.process(entry).freeze();
                case BLACKHOLED -> fleet.setProxyMode(entry, FaultInjectionProxy.Mode.BLACKHOLE);
            }
        }

        void end(ProcessFleet fleet, String entry) {
            switch (this) {
                case FROZEN -> fleet.process(entry).resume();
                case BLACKHOLED -> fleet.setProxyMode(entry, FaultInjectionProxy.Mode.FORWARD);
            }
        }
    }

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(Isolation.class)
    void zoneGetsNoNewWorkAfterFiveSeconds(Isolation isolation) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0, true);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            fleet.startEngines(
                    "vm-a,vm-b,vm-c", "--zone", "zone-a,zone-b,zone-c", "--domain", "da,db,dc", "--cold-requests", "2");
            String declaredSet =
                    DeclaredSetToml.base() + DeclaredSetToml.pool(3, 1, 8, 2, "zone-a", "zone-b", "zone-c");
            long unused = fleet.apply(declaredSet, 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(6, Workload.CHAT, 6);
                Await.until(
                        "a request through entry-3 ran in zone-a",
                        20_000,
                        () -> hasSentToZoneA(fleet, recorder, "entry-3"));
                isolation.begin(fleet, "entry-3");
                setZone(fleet, "out", "change-2");
                long outNanos = System.nanoTime();
                Await.sleepMs(ISOLATED_MS);
                isolation.end(fleet, "entry-3");
                Await.sleepMs(2_000);
                long inNanos = System.nanoTime();
                setZone(fleet, "in", "change-3");

                List<JournalEntry> journal = fleet.journal();
                WorkAfterDeadlineChecker.ExclusionWindow window = WorkAfterDeadlineChecker.ExclusionWindow.after(
                        "zone-a is out", Set.of("vm-a"), outNanos, IN_FORCE_MS, inNanos);
                assertThat(WorkAfterDeadlineChecker.check(journal, window)).isEmpty();
                assertThat(countStartsAfter(journal, "vm-b", outNanos)).isGreaterThan(0);
                awaitWork(fleet, inNanos);
            }
            assertThat(WrongAnswerChecker.check(recorder.history())).isEmpty();
        }
    }

    /** Returns whether a request through {@code entry} ran in zone-a, which shows that it holds a share of vm-a. */
    private static boolean hasSentToZoneA(ProcessFleet fleet, HistoryRecorder recorder, String entry) {
        Set<String> startedInZoneA = Histories.startedOperations(fleet.journal().stream()
                .filter(started -> started.vm().equals("vm-a"))
                .toList());
        return recorder.history().stream()
                .anyMatch(event -> event.phase() == Phase.OK
                        && event.target().equals(fleet.entryAddress(entry))
                        && startedInZoneA.contains(event.subject()));
    }

    private static void awaitWork(ProcessFleet fleet, long sinceNanos) {
        Await.until("new requests in zone-a", 15_000, () -> countStartsAfter(fleet.journal(), "vm-a", sinceNanos) > 0);
    }

    private static long countStartsAfter(List<JournalEntry> journal, String vm, long sinceNanos) {
        return journal.stream()
                .filter(entry ->
                        entry.event() == JournalEvent.STARTED && entry.vm().equals(vm))
                .filter(entry -> entry.atNanos() > sinceNanos)
                .count();
    }

    private static void setZone(ProcessFleet fleet, String zoneState, String changeId) {
        String path = "/v1/operator/zones/zone-a/" + zoneState + "?change_id=" + changeId + "&operator=test";
        Optional<HttpResponse<String>> response = Optional.empty();
        for (int i = 0; i < 20 && response.map(HttpResponse::statusCode).orElse(0) != 200; i++) {
            response = Http.trySend("POST", fleet.entryAddress("entry-" + (i % 2 + 1)), path, "");
            if (response.map(HttpResponse::statusCode).orElse(0) != 200) {
                Await.sleepMs(200);
            }
        }
        assertWithMessage(response.map(HttpResponse::body).orElse("no response"))
                .that(response.map(HttpResponse::statusCode).orElse(0))
                .isEqualTo(200);
    }
}
