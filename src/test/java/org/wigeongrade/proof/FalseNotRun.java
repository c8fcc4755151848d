package org.wigeongrade.proof;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds operations that ran although every answer to their caller said that they were not run. A caller who was never
 * told anything else may safely send the operation by another way. Stateless.
 */
final class FalseNotRun {
    private FalseNotRun() {}

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
                .map(entry ->
                        new Violation("false_not_run", entry.getKey(), "told not run only, yet an endpoint ran it"))
                .toList();
    }
}
