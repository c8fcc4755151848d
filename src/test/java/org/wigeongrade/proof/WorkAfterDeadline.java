package org.wigeongrade.proof;

import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds new work at VMs that must get none: those of a zone that was taken out, that are leaving, or whose group lost a
 * member. Stateless.
 */
final class WorkAfterDeadline {
    /** A span in which {@code vms} must get no new work; ends before {@code untilNanos}. */
    record Ban(String reason, Set<String> vms, long fromNanos, long untilNanos) {
        /** Returns a ban that begins {@code graceMs} after {@code eventNanos}. */
        static Ban after(String reason, Set<String> vms, long eventNanos, long graceMs, long untilNanos) {
            return new Ban(reason, vms, eventNanos + TimeUnit.MILLISECONDS.toNanos(graceMs), untilNanos);
        }

        private boolean covers(JournalEntry entry) {
            return vms.contains(entry.vm()) && entry.atNanos() >= fromNanos && entry.atNanos() < untilNanos;
        }
    }

    private WorkAfterDeadline() {}

    static List<Violation> check(List<JournalEntry> journal, Ban ban) {
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED && ban.covers(entry))
                .map(entry -> new Violation(
                        "work_after_deadline",
                        entry.vm(),
                        "started " + entry.operation() + " "
                                + TimeUnit.NANOSECONDS.toMillis(entry.atNanos() - ban.fromNanos())
                                + " ms into the ban: " + ban.reason()))
                .toList();
    }
}
