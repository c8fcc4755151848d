package org.wigeongrade.proof;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/** Queries on histories and journals. Stateless. */
final class Histories {
    private Histories() {}

    /** Returns the number of events of {@code function} in {@code phase}. */
    static long count(List<HistoryEvent> history, String function, Phase phase) {
        return history.stream()
                .filter(event -> event.function().equals(function) && event.phase() == phase)
                .count();
    }

    /** Returns the targets of the events of {@code function} in {@code phase}. */
    static Set<String> targets(List<HistoryEvent> history, String function, Phase phase) {
        return history.stream()
                .filter(event -> event.function().equals(function) && event.phase() == phase)
                .map(HistoryEvent::target)
                .collect(Collectors.toSet());
    }

    /** Returns the operations that endpoints started. */
    static Set<String> startedOperations(List<JournalEntry> journal) {
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED && entry.operation() != null)
                .map(JournalEntry::operation)
                .collect(Collectors.toSet());
    }

    /** Returns the number of outcomes of {@code function} by phase and value; values are cut to 60 characters. */
    static Map<String, Long> outcomes(List<HistoryEvent> history, String function) {
        return history.stream()
                .filter(event -> event.function().equals(function) && event.phase() != Phase.INVOKE)
                .collect(Collectors.groupingBy(
                        event -> event.phase() + " "
                                + event.value()
                                        .substring(0, Math.min(60, event.value().length())),
                        TreeMap::new,
                        Collectors.counting()));
    }
}
