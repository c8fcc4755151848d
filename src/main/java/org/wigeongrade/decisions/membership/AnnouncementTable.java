package org.wigeongrade.decisions.membership;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.ids.VmName;

/**
 * The latest announcement of each endpoint VM.
 *
 * <p>Invariant: an announcement of an older incarnation, or of the same one with a lower or equal sequence, changes
 * nothing while the newer one is kept. Entries are kept for {@link #KEEP_EXPIRED_NANOS} after their lease ends, so that
 * an announcement that arrives late cannot restore an older state. Thread safe: each method holds this object's monitor
 * and calls nothing that takes another lock.
 */
public final class AnnouncementTable {
    /** How long an announcement is kept after its lease deadline, in nanoseconds. */
    public static final long KEEP_EXPIRED_NANOS = 600L * 1_000_000_000;

    private final TreeMap<VmName, Announcement> byVm = new TreeMap<>();

    /** Records an announcement if it is newer than the one kept; returns whether it was recorded. */
    public synchronized boolean record(Announcement announcement) {
        final Announcement kept = byVm.get(announcement.vm().vm());
        if (kept != null && !isNewer(announcement, kept)) {
            return false;
        }
        byVm.put(announcement.vm().vm(), announcement);
        return true;
    }

    private static boolean isNewer(Announcement announcement, Announcement kept) {
        final long incarnation = announcement.vm().incarnation();
        if (incarnation != kept.vm().incarnation()) {
            return incarnation > kept.vm().incarnation();
        }
        return announcement.sequence() > kept.sequence();
    }

    /** Removes the entries whose lease ended longer ago than {@link #KEEP_EXPIRED_NANOS}. */
    public synchronized void expire(long nowNanos) {
        byVm.values().removeIf(kept -> nowNanos - kept.leaseDeadlineNanos() > KEEP_EXPIRED_NANOS);
    }

    /** Returns the latest announcement of a VM, even if its lease has ended. */
    public synchronized Optional<Announcement> latest(VmName vm) {
        return Optional.ofNullable(byVm.get(vm));
    }

    /** Returns the announcement of a VM if its lease is valid at {@code nowNanos}. */
    public synchronized Optional<Announcement> live(VmName vm, long nowNanos) {
        return Optional.ofNullable(byVm.get(vm)).filter(kept -> isLive(kept, nowNanos));
    }

    /** Returns the announcements whose leases are valid at {@code nowNanos}, ordered by VM name. */
    public synchronized List<Announcement> live(long nowNanos) {
        return byVm.values().stream().filter(kept -> isLive(kept, nowNanos)).collect(ImmutableList.toImmutableList());
    }

    private static boolean isLive(Announcement kept, long nowNanos) {
        return kept.leaseDeadlineNanos() - nowNanos > 0;
    }
}
