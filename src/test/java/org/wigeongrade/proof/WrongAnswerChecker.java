package org.wigeongrade.proof;

import java.util.List;
import java.util.Set;

/**
 * Finds responses with success status that were incomplete or did not match the client's own request. Stateless.
 */
final class WrongAnswerChecker {
    private static final Set<String> CODES = Set.of("wrong_answer", "cut_short");

    private WrongAnswerChecker() {}

    static List<Violation> check(List<HistoryEvent> history) {
        return history.stream()
                .filter(event -> event.phase() == Phase.UNKNOWN && CODES.contains(event.value()))
                .map(event -> new Violation("wrong_answer", event.subject(), event.value() + " from " + event.target()))
                .toList();
    }
}
