package org.wigeongrade.proof;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.wigeongrade.bench.Workload;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/** Kills an engine while it generates streams. */
@Tag("process")
final class StreamResumeProcessTest {
    private static final int MIN_RUNNING_STREAMS = 2;

    @TempDir
    Path folder;

    @Test
    void resumesOnAnotherEngineWithoutLostOrDuplicateTokens() throws Exception {
        try (ProcessFleet fleet = ProcessFleet.start(folder, 3, 0);
                HistoryRecorder recorder = new HistoryRecorder(folder.resolve("history.jsonl"))) {
            for (String vm : List.of("vm-1", "vm-2")) {
                fleet.startEngines(vm, "--cold-requests", "2", "--token-ms", "20");
            }
            long unused =
                    fleet.apply(DeclaredSetToml.base() + DeclaredSetToml.pool(2, 1, 8, 2, "zone-a"), 0, "change-1");
            try (ClientThreads clients = new ClientThreads(fleet.entryAddresses(), recorder)) {
                clients.startGenerateClients(6, Workload.CHAT_STREAM, 60);
                Await.until("both engines are warm", 20_000, () -> isWarm(fleet, "vm-1") && isWarm(fleet, "vm-2"));
                Await.sleepMs(1_500);
                Await.until(
                        "streams run at vm-1",
                        10_000,
                        () -> runningOperations(fleet, "vm-1").size() >= MIN_RUNNING_STREAMS);
                fleet.process("vm-1").kill();
                recorder.recordAction("kill", "vm-1");
                Await.sleepMs(5_000);
            }

            List<HistoryEvent> history = recorder.history();
            assertThat(WrongAnswerChecker.check(history)).isEmpty();
            assertThat(FalseNotRunChecker.check(ClientThreads.GENERATE, history, fleet.journal()))
                    .isEmpty();
            assertWithMessage("%s", Histories.outcomes(history, ClientThreads.GENERATE))
                    .that(resumedOperations(fleet, history))
                    .isNotEmpty();
        }
    }

    private static boolean isWarm(ProcessFleet fleet, String vm) {
        return fleet.journal(vm).stream()
                .anyMatch(entry -> entry.event() == JournalEvent.STATE && "warm".equals(entry.state()));
    }

    private static Set<String> runningOperations(ProcessFleet fleet, String vm) {
        Set<String> running = startedOperationsOf(fleet, vm);
        fleet.journal(vm).stream()
                .filter(entry -> entry.event() != JournalEvent.STARTED && entry.operation() != null)
                .forEach(entry -> running.remove(entry.operation()));
        return running;
    }

    /** Returns the operations that ran on both engines and whose client received the complete response. */
    private static Set<String> resumedOperations(ProcessFleet fleet, List<HistoryEvent> history) {
        Set<String> onBoth = startedOperationsOf(fleet, "vm-1");
        onBoth.retainAll(startedOperationsOf(fleet, "vm-2"));
        return history.stream()
                .filter(event -> event.phase() == Phase.OK && onBoth.contains(event.subject()))
                .map(HistoryEvent::subject)
                .collect(Collectors.toSet());
    }

    private static Set<String> startedOperationsOf(ProcessFleet fleet, String vm) {
        return fleet.journal(vm).stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED)
                .map(JournalEntry::operation)
                .collect(Collectors.toSet());
    }
}
