package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.limits.ShareLedger;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.decisions.outcomes.CrashSuspects;
import org.wigeongrade.decisions.placement.PlacementReason;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.NodeTimings;

/**
 * What a leader knows beside the replicated log, for one term.
 *
 * <p>Invariant: starts empty with each term; nothing in it outlives the term. Thread safe: the tables lock themselves,
 * {@code entries} and {@code snapshot} are guarded by this object's lock, which is taken before the tables' locks and
 * never after them.
 */
final class Leadership {
    private static final long SNAPSHOT_LIFE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long SUSPECT_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final long TRIAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final long term;
    private final long sinceNanos;
    private final NodeTimings timings;
    private final AnnouncementTable announcements = new AnnouncementTable();
    private final ShareLedger shares;
    private final CrashSuspects suspects = new CrashSuspects(SUSPECT_NANOS, TRIAL_NANOS);
    private final CacheEventRing cacheEvents = new CacheEventRing();
    private final Map<NodeName, EntrySeen> entries = new TreeMap<>();
    private Optional<FleetSnapshot> snapshot = Optional.empty();
    private ImmutableMap<GroupName, PlacementReason> holds = ImmutableMap.of();

    Leadership(long term, long sinceNanos, NodeTimings timings) {
        this.term = term;
        this.sinceNanos = sinceNanos;
        this.timings = timings;
        this.shares = new ShareLedger(timings.viewLeaseNanos(), sinceNanos + timings.viewLeaseNanos());
    }

    long term() {
        return term;
    }

    AnnouncementTable announcements() {
        return announcements;
    }

    ShareLedger shares() {
        return shares;
    }

    CrashSuspects suspects() {
        return suspects;
    }

    CacheEventRing cacheEvents() {
        return cacheEvents;
    }

    /** Returns when every living VM has had the time to announce itself to this leader. */
    long membersKnownAtNanos() {
        return sinceNanos + timings.announcementLeaseNanos();
    }

    /** Returns the longest life of a lease, in nanoseconds. */
    long leaseNanos() {
        return timings.viewLeaseNanos();
    }

    /** Returns when no lease of an earlier leader is valid any more. */
    long olderLeasesEndNanos() {
        return sinceNanos + timings.viewLeaseNanos();
    }

    /** Keeps which declared groups the last plan did not form, and why. */
    synchronized void setHolds(ImmutableMap<GroupName, PlacementReason> newHolds) {
        holds = newHolds;
    }

    synchronized ImmutableMap<GroupName, PlacementReason> holds() {
        return holds;
    }

    /** Returns when no order of an earlier leader can arrive any more. */
    long olderOrdersEndNanos() {
        return sinceNanos + timings.viewLeaseNanos() + timings.orderTimeoutNanos();
    }

    synchronized void entrySeen(EntrySeen seen) {
        entries.put(seen.node(), seen);
    }

    synchronized ImmutableList<EntrySeen> entries() {
        return ImmutableList.copyOf(entries.values());
    }

    private Map<NodeName, String> callerAddresses() {
        final Map<NodeName, String> addresses = new TreeMap<>();
        entries.values().forEach(seen -> addresses.put(seen.node(), seen.callerAddress()));
        return addresses;
    }

    /** Returns the fleet as of now, or as of a moment ago if no command was applied since. */
    synchronized FleetSnapshot snapshot(ControlState state, long nowNanos) {
        final boolean fresh = snapshot.filter(taken -> nowNanos - taken.takenAtNanos() < SNAPSHOT_LIFE_NANOS)
                .filter(taken -> taken.appliedIndex() == state.appliedIndex())
                .isPresent();
        if (!fresh) {
            snapshot = Optional.of(FleetSnapshots.take(
                    state, announcements, shares, callerAddresses(), timings.announcementLeaseNanos(), nowNanos));
        }
        return snapshot.orElseThrow();
    }
}
