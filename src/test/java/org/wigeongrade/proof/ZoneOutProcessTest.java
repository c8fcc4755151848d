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

/** An availability zone is taken out under load while one entry VM cannot hear of it. */
@Tag("process")
final class ZoneOutProcessTest {
    private static final long IN_FORCE_MS = 5_000;
    private static final long DEAF_MS = IN_FORCE_MS + 2_000;

    /** What happens to the entry VM. */
    enum Deafness {
        FROZEN,
        CUT_IN_SILENCE;

        void begin(ProcessFleet fleet, String entry) {
            switch (this) {
                case FROZEN -> fleet.process(entry).freeze();
                case CUT_IN_SILENCE -> fleet.cut(entry, CuttingProxy.Mode.SILENT);
            }
        }

        void end(ProcessFleet fleet, String entry) {
            switch (this) {
                case FROZEN -> fleet.process(entry).thaw();
                case CUT_IN_SILENCE -> fleet.cut(entry, CuttingProxy.Mode.PASS);
            }
        }
    }

    @TempDir
    Path folder;

    @ParameterizedTest
    @EnumSource(Deafness.class)
    void getsNoNewWorkAfterFiveSeconds(Deafness deafness) throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0, true);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            fleet.engines(
                    "vm-a,vm-b,vm-c", "--zone", "zone-a,zone-b,zone-c", "--domain", "da,db,dc", "--cold-requests", "2");
            String declared = Operators.basics() + Operators.pool(3, 1, 8, 2, "zone-a", "zone-b", "zone-c");
            long unused = fleet.apply(declared, 0, "change-1");
            try (Callers callers = new Callers(fleet.entries(), recorder)) {
                callers.startGenerating(6, Workload.CHAT, 6);
                Await.until("work in zone-a through entry-3", 20_000, () -> sentThrough(fleet, recorder, "entry-3"));
                deafness.begin(fleet, "entry-3");
                zone(fleet, "out", "change-2");
                long outNanos = System.nanoTime();
                Await.sleepMs(DEAF_MS);
                deafness.end(fleet, "entry-3");
                Await.sleepMs(2_000);
                long inNanos = System.nanoTime();
                zone(fleet, "in", "change-3");

                List<JournalEntry> journal = fleet.journal();
                WorkAfterDeadline.Ban ban =
                        WorkAfterDeadline.Ban.after("zone-a is out", Set.of("vm-a"), outNanos, IN_FORCE_MS, inNanos);
                assertThat(WorkAfterDeadline.check(journal, ban)).isEmpty();
                assertThat(startsAfter(journal, "vm-b", outNanos)).isGreaterThan(0);
                awaitWork(fleet, inNanos);
            }
            assertThat(WrongAnswer.check(recorder.history())).isEmpty();
        }
    }

    /** Returns whether the entry VM holds a share of the zone's endpoint, as it sent work there lately. */
    private static boolean sentThrough(ProcessFleet fleet, HistoryRecorder recorder, String entry) {
        Set<String> atZone = Histories.startedOperations(fleet.journal().stream()
                .filter(started -> started.vm().equals("vm-a"))
                .toList());
        return recorder.history().stream()
                .anyMatch(event -> event.phase() == Phase.OK
                        && event.target().equals(fleet.entry(entry))
                        && atZone.contains(event.subject()));
    }

    private static void awaitWork(ProcessFleet fleet, long sinceNanos) {
        Await.until("work in zone-a", 15_000, () -> startsAfter(fleet.journal(), "vm-a", sinceNanos) > 0);
    }

    private static long startsAfter(List<JournalEntry> journal, String vm, long sinceNanos) {
        return journal.stream()
                .filter(entry ->
                        entry.event() == JournalEvent.STARTED && entry.vm().equals(vm))
                .filter(entry -> entry.atNanos() > sinceNanos)
                .count();
    }

    private static void zone(ProcessFleet fleet, String verb, String changeId) {
        String path = "/v1/operator/zones/zone-a/" + verb + "?change_id=" + changeId + "&operator=test";
        Optional<HttpResponse<String>> answer = Optional.empty();
        for (int i = 0; i < 20 && answer.map(HttpResponse::statusCode).orElse(0) != 200; i++) {
            answer = Http.trySend("POST", fleet.entry("entry-" + (i % 2 + 1)), path, "");
            if (answer.map(HttpResponse::statusCode).orElse(0) != 200) {
                Await.sleepMs(200);
            }
        }
        assertWithMessage(answer.map(HttpResponse::body).orElse("no answer"))
                .that(answer.map(HttpResponse::statusCode).orElse(0))
                .isEqualTo(200);
    }
}
