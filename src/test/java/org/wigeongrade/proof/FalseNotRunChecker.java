package org.wigeongrade.proof;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds operations that ran although every response to the client stated that they did not run. A client that received
 * no other response may safely send the operation by another path. Stateless.
 */
final class FalseNotRunChecker {
    private FalseNotRunChecker() {}

    static List<Violation> check(String function, List<HistoryEvent> history, List<JournalEntry> journal) {
        Set<String> started = journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED && entry.operation() != null)
                .map(JournalEntry::operation)
                .collect(Collectors.toSet());
        Map<String, Set<Phase>> outcomes = history.stream()
                .filter(event -> event.function().equals(function) && event.phase() != Phase.INVOKE)
                .collect(Collectors.groupingBy(
                        HistoryEvent::subject,
                        TreeMap::new,
                        Collectors.mapping(HistoryEvent::phase, Collectors.toSet())));
        return outcomes.entrySet().stream()
                .filter(entry -> entry.getValue().equals(Set.of(Phase.FAIL)) && started.contains(entry.getKey()))
                .map(entry -> new Violation(
                        "false_not_run",
                        entry.getKey(),
                        "every response stated that it was not run, but an endpoint ran it"))
                .toList();
    }
}
