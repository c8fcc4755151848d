package org.wigeongrade.proof;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.standin.JournalEntry;
import org.wigeongrade.standin.JournalEvent;

/**
 * Finds requests that reached a cold endpoint above its cold capacity. Requests within the grace time after the
 * endpoint turned cold without warning do not count. Stateless.
 */
final class ColdOverloadChecker {
    private ColdOverloadChecker() {}

    /** Returns the violations in {@code journal}, which is that of one VM. */
    static List<Violation> check(List<JournalEntry> journal, int coldCapacity, long graceMs) {
        long graceNanos = TimeUnit.MILLISECONDS.toNanos(graceMs);
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STARTED && "cold".equals(entry.state()))
                .filter(entry -> entry.inFlight() > coldCapacity)
                .filter(entry -> entry.atNanos() - coldSince(journal, entry) >= graceNanos)
                .map(entry -> new Violation(
                        "cold_overload", entry.vm(), entry.inFlight() + " in flight with " + entry.operation()))
                .toList();
    }

    private static long coldSince(List<JournalEntry> journal, JournalEntry started) {
        return journal.stream()
                .filter(entry -> entry.event() == JournalEvent.STATE && "cold".equals(entry.state()))
                .mapToLong(JournalEntry::atNanos)
                .filter(atNanos -> atNanos <= started.atNanos())
                .max()
                .orElse(0);
    }
}
