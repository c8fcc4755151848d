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
final class ServedWithMissingMember {
    private ServedWithMissingMember() {}

    /** {@code journal} is that of all VMs; {@code deadVm} died at {@code diedNanos} and stayed dead. */
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

    /** Returns the time of the last start in a group with {@code deadVm} after its death; empty if there is none. */
    static Optional<Long> lastStartNanos(List<JournalEntry> journal, String deadVm, long diedNanos) {
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED
                        && entry.atNanos() >= diedNanos
                        && entry.members().contains(deadVm))
                .map(JournalEntry::atNanos)
                .max(Long::compare);
    }
}
