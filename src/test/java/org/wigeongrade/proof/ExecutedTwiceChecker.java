package org.wigeongrade.proof;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds operations that a service executed more than once. A non-idempotent operation must run at most once, no matter
 * how often its client resends it. Stateless.
 */
final class ExecutedTwiceChecker {
    private ExecutedTwiceChecker() {}

    static List<Violation> check(List<JournalEntry> journal) {
        Map<String, Long> executions = journal.stream()
                .filter(entry -> entry.event() == JournalEvent.EXECUTED && entry.operation() != null)
                .collect(Collectors.groupingBy(JournalEntry::operation, TreeMap::new, Collectors.counting()));
        return executions.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .map(entry ->
                        new Violation("executed_twice", entry.getKey(), "executed " + entry.getValue() + " times"))
                .toList();
    }
}
