package org.wigeongrade.proof;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds requests that a group started more than a grace time after one of its members died. Stateless.
 */
final class ServedWithMissingMemberChecker {
    private ServedWithMissingMemberChecker() {}

    /**
     * Returns the violations in {@code journal}, which is that of all VMs; {@code deadVm} died at {@code diedNanos} and
     * did not restart.
     */
    static List<Violation> check(List<JournalEntry> journal, String deadVm, long diedNanos, long graceMs) {
        long deadlineNanos = diedNanos + TimeUnit.MILLISECONDS.toNanos(graceMs);
        List<Violation> violations = new ArrayList<>();
        for (JournalEntry entry : journal) {
            if (entry.event() == JournalEvent.STARTED
                    && entry.atNanos() >= deadlineNanos
                    && entry.members().contains(deadVm)) {
                violations.add(new Violation(
                        "served_with_missing_member",
                        entry.group(),
                        entry.vm() + " started " + entry.operation() + " "
                                + TimeUnit.NANOSECONDS.toMillis(entry.atNanos() - diedNanos) + " ms after " + deadVm
                                + " died"));
            }
        }
        return violations;
    }

    /** Returns when a group with {@code deadVm} last started a request after that VM died; empty if it never did. */
    static Optional<Long> lastStartNanos(List<JournalEntry> journal, String deadVm, long diedNanos) {
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED
                        && entry.atNanos() >= diedNanos
                        && entry.members().contains(deadVm))
                .map(JournalEntry::atNanos)
                .max(Long::compare);
    }
}
