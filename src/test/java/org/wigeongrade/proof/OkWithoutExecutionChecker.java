package org.wigeongrade.proof;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds operations that were reported to the client as done although no service executed them. A lost operation must
 * not look like a completed one. Stateless.
 */
final class OkWithoutExecutionChecker {
    private OkWithoutExecutionChecker() {}

    static List<Violation> check(String function, List<HistoryEvent> history, List<JournalEntry> journal) {
        Set<String> executed = journal.stream()
                .filter(entry -> entry.event() == JournalEvent.EXECUTED)
                .map(JournalEntry::operation)
                .collect(Collectors.toSet());
        return history.stream()
                .filter(event -> event.function().equals(function) && event.phase() == Phase.OK)
                .filter(event -> !executed.contains(event.subject()))
                .map(event ->
                        new Violation("ok_without_execution", event.subject(), "reported ok by " + event.target()))
                .toList();
    }
}
