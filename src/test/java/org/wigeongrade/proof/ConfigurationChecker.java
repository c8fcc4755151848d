package org.wigeongrade.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that the configuration behaves as a register with compare-and-set. Finds two changes accepted on one base or
 * as one revision, a change acknowledged twice with different revisions, an accepted revision that is not in force
 * within its time limit, and one revision with two contents. Stateless.
 *
 * <p>Histories contain {@code apply} (subject: change id, target: entry VM, value: {@code revision@base} when ok) and
 * {@code read} (subject: entry VM, value: {@code revision:digest} when ok).
 */
final class ConfigurationChecker {
    static final String APPLY = "apply";
    static final String READ = "read";

    private ConfigurationChecker() {}

    static List<Violation> check(List<HistoryEvent> history, long inForceMs) {
        List<Violation> violations = new ArrayList<>();
        violations.addAll(conflictingAcceptances(history));
        violations.addAll(notInForce(history, inForceMs));
        violations.addAll(twoContents(history));
        return violations;
    }

    private static List<Violation> conflictingAcceptances(List<HistoryEvent> history) {
        Map<Long, String> changeOfRevision = new HashMap<>();
        Map<String, Long> revisionOfChange = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        Map<String, String> changeOfBase = new HashMap<>();
        for (HistoryEvent event : successful(history, APPLY)) {
            long revision = appliedRevision(event);
            String base = event.value().substring(event.value().indexOf('@') + 1);
            String otherChangeOnBase = changeOfBase.putIfAbsent(base, event.subject());
            if (otherChangeOnBase != null && !otherChangeOnBase.equals(event.subject())) {
                violations.add(
                        new Violation("two_changes_on_one_base", base, otherChangeOnBase + " and " + event.subject()));
            }
            String otherChangeInRevision = changeOfRevision.putIfAbsent(revision, event.subject());
            if (otherChangeInRevision != null && !otherChangeInRevision.equals(event.subject())) {
                violations.add(new Violation(
                        "two_changes_in_one_revision",
                        event.value(),
                        otherChangeInRevision + " and " + event.subject()));
            }
            Long firstRevision = revisionOfChange.putIfAbsent(event.subject(), revision);
            if (firstRevision != null && firstRevision != revision) {
                violations.add(new Violation(
                        "change_acknowledged_twice",
                        event.subject(),
                        "as revision " + firstRevision + " and " + revision));
            }
        }
        return violations;
    }

    private static List<Violation> notInForce(List<HistoryEvent> history, long inForceMs) {
        long inForceNanos = TimeUnit.MILLISECONDS.toNanos(inForceMs);
        List<HistoryEvent> applies = successful(history, APPLY);
        Map<Long, Long> invokedNanos = new HashMap<>();
        history.stream()
                .filter(event -> event.phase() == Phase.INVOKE)
                .forEach(event -> invokedNanos.put(event.call(), event.atNanos()));
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent read : successful(history, READ)) {
            long requiredRevision = applies.stream()
                    .filter(apply -> apply.atNanos() + inForceNanos <= invokedNanos.get(read.call()))
                    .mapToLong(ConfigurationChecker::appliedRevision)
                    .max()
                    .orElse(0);
            if (revisionOf(read) < requiredRevision) {
                violations.add(new Violation(
                        "revision_not_in_force",
                        read.subject(),
                        "read revision " + revisionOf(read) + " although " + requiredRevision + " should be in force"));
            }
        }
        return violations;
    }

    private static List<Violation> twoContents(List<HistoryEvent> history) {
        Map<Long, String> contentOfRevision = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent read : successful(history, READ)) {
            String otherContent = contentOfRevision.putIfAbsent(revisionOf(read), read.value());
            if (otherContent != null && !otherContent.equals(read.value())) {
                violations.add(new Violation("two_contents", read.subject(), otherContent + " and " + read.value()));
            }
        }
        return violations;
    }

    private static long appliedRevision(HistoryEvent apply) {
        return Long.parseLong(apply.value().substring(0, apply.value().indexOf('@')));
    }

    private static long revisionOf(HistoryEvent read) {
        return Long.parseLong(read.value().substring(0, read.value().indexOf(':')));
    }

    private static List<HistoryEvent> successful(List<HistoryEvent> history, String function) {
        return history.stream()
                .filter(event -> event.phase() == Phase.OK && event.function().equals(function))
                .toList();
    }
}
