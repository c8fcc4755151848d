package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * The log in memory: the entries after a base position, the latest snapshot and the memberships that these contain.
 *
 * <p>Invariant: entries follow the base without a gap; the base is not past the snapshot. Not thread safe.
 */
final class MemoryLog {
    private record MembershipAt(long index, Membership membership) {}

    private static final long ENTRY_OVERHEAD_BYTES = 128;

    private final List<LogEntry> entries = new ArrayList<>();
    private final List<MembershipAt> memberships = new ArrayList<>();
    private long retainedBytes;
    private Position base;
    private Optional<Snapshot> snapshot;

    MemoryLog(RecoveredState recovered) {
        this.base = recovered.base();
        this.snapshot = recovered.snapshot();
        snapshot.ifPresent(
                found -> memberships.add(new MembershipAt(found.position().index(), found.membership())));
        recovered.entries().forEach(this::append);
    }

    Position base() {
        return base;
    }

    Optional<Snapshot> snapshot() {
        return snapshot;
    }

    /** Returns the approximate memory use of the entries, in bytes. */
    long retainedBytes() {
        return retainedBytes;
    }

    Position last() {
        return entries.isEmpty() ? base : entries.get(entries.size() - 1).position();
    }

    long lastIndex() {
        return base.index() + entries.size();
    }

    /** Returns the position at an index; empty if it is before the base or past the end. */
    Optional<Position> positionAt(long index) {
        if (index == base.index()) {
            return Optional.of(base);
        }
        return entry(index).map(LogEntry::position);
    }

    Optional<LogEntry> entry(long index) {
        if (index <= base.index() || index > lastIndex()) {
            return Optional.empty();
        }
        return Optional.of(entries.get(offset(index)));
    }

    boolean hasTermAt(long index, long term) {
        return positionAt(index).filter(position -> position.term() == term).isPresent();
    }

    /**
     * Returns the entries from an index on, limited by count and by size. Returns at least one if there is any: the
     * entry that reaches the size limit is included.
     */
    ImmutableList<LogEntry> entriesFrom(long index, int maxEntries, int maxBytes) {
        ImmutableList.Builder<LogEntry> found = ImmutableList.builder();
        long end = Math.min(lastIndex(), index + maxEntries - 1);
        int sizeBytes = 0;
        for (long i = index; i <= end && sizeBytes < maxBytes; i++) {
            LogEntry next = entries.get(offset(i));
            sizeBytes += next.payload().sizeBytes();
            found.add(next);
        }
        return found.build();
    }

    void append(LogEntry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException(
                    "entry " + entry.index() + " does not follow the last entry, " + lastIndex());
        }
        entries.add(entry);
        retainedBytes += sizeBytes(entry);
        boolean newer =
                memberships.isEmpty() || memberships.get(memberships.size() - 1).index() < entry.index();
        if (entry.kind() == EntryKind.MEMBERSHIP && newer) {
            memberships.add(new MembershipAt(entry.index(), Membership.decode(entry.payload())));
        }
    }

    /** Removes the entry at an index and all later ones. */
    void truncateFrom(long index) {
        drop(entries.subList(offset(index), entries.size()));
        memberships.removeIf(at -> at.index() >= index);
    }

    /** Returns the latest membership in the log, committed or not. */
    Membership membership() {
        return memberships.isEmpty()
                ? Membership.NONE
                : memberships.get(memberships.size() - 1).membership();
    }

    long membershipIndex() {
        return memberships.isEmpty()
                ? 0
                : memberships.get(memberships.size() - 1).index();
    }

    /** Returns the membership in force at an index, which must not be before the snapshot. */
    Membership membershipAt(long index) {
        return memberships.stream()
                .filter(at -> at.index() <= index)
                .reduce((first, second) -> second)
                .map(MembershipAt::membership)
                .orElse(Membership.NONE);
    }

    /**
     * Records a snapshot of the local state machine and drops the entries up to {@code newBase}, which must not be past
     * it.
     */
    void compact(Snapshot taken, Position newBase) {
        snapshot = Optional.of(taken);
        if (newBase.index() > base.index()) {
            drop(entries.subList(0, offset(newBase.index() + 1)));
            base = newBase;
        }
        long snapshotIndex = taken.position().index();
        memberships.removeIf(at -> at.index() <= snapshotIndex);
        memberships.add(0, new MembershipAt(snapshotIndex, taken.membership()));
    }

    /** Replaces the whole log by a snapshot. */
    void reset(Snapshot installed) {
        drop(entries);
        memberships.clear();
        base = installed.position();
        snapshot = Optional.of(installed);
        memberships.add(new MembershipAt(base.index(), installed.membership()));
    }

    private void drop(List<LogEntry> range) {
        retainedBytes -= range.stream().mapToLong(MemoryLog::sizeBytes).sum();
        range.clear();
    }

    private static long sizeBytes(LogEntry entry) {
        return ENTRY_OVERHEAD_BYTES + entry.payload().sizeBytes();
    }

    private int offset(long index) {
        return Math.toIntExact(index - base.index() - 1);
    }
}
