package org.wigeongrade.proof;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds requests started on VMs that must not get any: VMs in a zone that was taken out, VMs that are leaving, and VMs
 * whose group lost a member. Stateless.
 */
final class WorkAfterDeadlineChecker {
    /**
     * A time span from {@code fromNanos} to {@code untilNanos}, exclusive, in which {@code vms} must get no new work.
     */
    record ExclusionWindow(String reason, Set<String> vms, long fromNanos, long untilNanos) {
        /** Returns a window that begins {@code graceMs} after {@code eventNanos}. */
        static ExclusionWindow after(String reason, Set<String> vms, long eventNanos, long graceMs, long untilNanos) {
            return new ExclusionWindow(reason, vms, eventNanos + TimeUnit.MILLISECONDS.toNanos(graceMs), untilNanos);
        }

        private boolean contains(JournalEntry entry) {
            return vms.contains(entry.vm()) && entry.atNanos() >= fromNanos && entry.atNanos() < untilNanos;
        }
    }

    private WorkAfterDeadlineChecker() {}

    static List<Violation> check(List<JournalEntry> journal, ExclusionWindow window) {
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED && window.contains(entry))
                .map(entry -> new Violation(
                        "work_after_deadline",
                        entry.vm(),
                        "started " + entry.operation() + " "
                                + TimeUnit.NANOSECONDS.toMillis(entry.atNanos() - window.fromNanos())
                                + " ms into the exclusion window: " + window.reason()))
                .toList();
    }
}
