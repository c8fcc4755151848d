package org.wigeongrade.proof;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Finds breaches of the configuration as a register with compare-and-set: two changes accepted on one base, a change
 * acknowledged twice with different revisions, an accepted revision that is not in force after its time, and one
 * revision with two contents. Stateless.
 *
 * <p>Histories hold {@code apply} (subject: change id, target: entry VM, value: {@code revision@base} when ok) and {@code read}
 * (subject: entry VM, value: {@code revision:digest} when ok).
 */
final class ConfigurationRegister {
    static final String APPLY = "apply";
    static final String READ = "read";

    private ConfigurationRegister() {}

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
        for (HistoryEvent event : ended(history, APPLY)) {
            long revision = appliedRevision(event);
            String base = event.value().substring(event.value().indexOf('@') + 1);
            String rival = changeOfBase.putIfAbsent(base, event.subject());
            if (rival != null && !rival.equals(event.subject())) {
                violations.add(new Violation("two_changes_on_one_base", base, rival + " and " + event.subject()));
            }
            String other = changeOfRevision.putIfAbsent(revision, event.subject());
            if (other != null && !other.equals(event.subject())) {
                violations.add(
                        new Violation("two_changes_in_one_revision", event.value(), other + " and " + event.subject()));
            }
            Long first = revisionOfChange.putIfAbsent(event.subject(), revision);
            if (first != null && first != revision) {
                violations.add(new Violation(
                        "change_acknowledged_twice", event.subject(), "as revision " + first + " and " + revision));
            }
        }
        return violations;
    }

    private static List<Violation> notInForce(List<HistoryEvent> history, long inForceMs) {
        long inForceNanos = TimeUnit.MILLISECONDS.toNanos(inForceMs);
        List<HistoryEvent> applies = ended(history, APPLY);
        Map<Long, Long> invokedNanos = new HashMap<>();
        history.stream()
                .filter(event -> event.phase() == Phase.INVOKE)
                .forEach(event -> invokedNanos.put(event.call(), event.atNanos()));
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent read : ended(history, READ)) {
            long due = applies.stream()
                    .filter(apply -> apply.atNanos() + inForceNanos <= invokedNanos.get(read.call()))
                    .mapToLong(ConfigurationRegister::appliedRevision)
                    .max()
                    .orElse(0);
            if (revisionOf(read) < due) {
                violations.add(new Violation(
                        "revision_not_in_force",
                        read.subject(),
                        "read revision " + revisionOf(read) + " although " + due + " was due"));
            }
        }
        return violations;
    }

    private static List<Violation> twoContents(List<HistoryEvent> history) {
        Map<Long, String> contentOfRevision = new HashMap<>();
        List<Violation> violations = new ArrayList<>();
        for (HistoryEvent read : ended(history, READ)) {
            String other = contentOfRevision.putIfAbsent(revisionOf(read), read.value());
            if (other != null && !other.equals(read.value())) {
                violations.add(new Violation("two_contents", read.subject(), other + " and " + read.value()));
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

    private static List<HistoryEvent> ended(List<HistoryEvent> history, String function) {
        return history.stream()
                .filter(event -> event.phase() == Phase.OK && event.function().equals(function))
                .toList();
    }
}
