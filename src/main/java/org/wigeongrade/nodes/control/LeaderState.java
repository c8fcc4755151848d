package org.wigeongrade.nodes.control;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.limits.ShareAllocator;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.decisions.outcomes.CrashSuspects;
import org.wigeongrade.decisions.outcomes.LossEvidence;
import org.wigeongrade.decisions.placement.PlacementReason;
import org.wigeongrade.decisions.reachability.RelayDirectory;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.nodes.CrashQuarantine;
import org.wigeongrade.nodes.NodeTimings;

/**
 * The volatile state of a leader for one term: what it knows beyond the replicated log.
 *
 * <p>Invariant: it starts empty in each term, and nothing in it is used after the term. Thread safe: the tables have
 * their own locks; {@code entryStatuses}, {@code relays}, {@code holds} and {@code snapshot} are guarded by this object's lock, which
 * is acquired before the locks of the tables and never after them.
 */
final class LeaderState {
    private static final long SNAPSHOT_MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long SUSPECT_RETENTION_NANOS = TimeUnit.MINUTES.toNanos(10);
    private static final long TRIAL_LEASE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final long term;
    private final long sinceNanos;
    private final NodeTimings timings;
    private final AnnouncementTable announcements = new AnnouncementTable();
    private final ShareAllocator shares;
    private final CrashSuspects suspects = new CrashSuspects(SUSPECT_RETENTION_NANOS, TRIAL_LEASE_NANOS);
    private final CrashQuarantine crashQuarantine;
    private final CacheEventRing cacheEvents = new CacheEventRing();
    private final Map<NodeName, EntryStatus> entryStatuses = new TreeMap<>();
    private final RelayDirectory relays;
    private Optional<FleetSnapshot> snapshot = Optional.empty();
    private ImmutableMap<GroupName, PlacementReason> holds = ImmutableMap.of();

    LeaderState(long term, long sinceNanos, NodeTimings timings, ControlState state, EventLog events) {
        this.term = term;
        this.sinceNanos = sinceNanos;
        this.timings = timings;
        this.relays = new RelayDirectory(timings.pullIntervalNanos());
        this.crashQuarantine = new CrashQuarantine(
                timings.pullIntervalNanos(),
                new LossEvidence(timings.announcementLeaseNanos(), sinceNanos),
                new EndpointSightings(state, announcements, timings.announcementLeaseNanos()),
                events);
        this.shares = new ShareAllocator(timings.viewLeaseNanos(), sinceNanos + timings.viewLeaseNanos());
    }

    long term() {
        return term;
    }

    AnnouncementTable announcements() {
        return announcements;
    }

    ShareAllocator shares() {
        return shares;
    }

    CrashSuspects suspects() {
        return suspects;
    }

    CrashQuarantine crashQuarantine() {
        return crashQuarantine;
    }

    CacheEventRing cacheEvents() {
        return cacheEvents;
    }

    /** Returns the time after which every live VM has had time to announce itself to this leader. */
    long membersKnownAtNanos() {
        return sinceNanos + timings.announcementLeaseNanos();
    }

    /** Returns the longest duration of a view lease, in nanoseconds. */
    long viewLeaseNanos() {
        return timings.viewLeaseNanos();
    }

    /** Returns the time after which no lease granted by an earlier leader is valid. */
    long olderLeasesEndNanos() {
        return sinceNanos + timings.viewLeaseNanos();
    }

    /** Stores the declared groups that the last placement plan did not form, each with the reason. */
    synchronized void setHolds(ImmutableMap<GroupName, PlacementReason> newHolds) {
        holds = newHolds;
    }

    synchronized ImmutableMap<GroupName, PlacementReason> holds() {
        return holds;
    }

    /** Returns the time after which no order of an earlier leader can arrive. */
    long olderOrdersEndNanos() {
        return sinceNanos + timings.viewLeaseNanos() + timings.orderTimeoutNanos();
    }

    synchronized void recordEntry(EntryStatus status) {
        entryStatuses.put(status.node(), status);
    }

    /** Records whether an entry VM takes requests from entry VMs that reach no endpoint. */
    synchronized void recordRelay(EntryStatus status, boolean takesRequests) {
        relays.record(
                status.node(),
                status.zone(),
                Optional.of(status.callerAddress()).filter(address -> takesRequests),
                status.seenAtNanos());
    }

    /** Returns the addresses to which an entry VM may send its callers' requests if it reaches no endpoint. */
    synchronized ImmutableList<String> relayAddresses(NodeName reader, AvailabilityZone zone, long nowNanos) {
        return relays.addressesFor(reader, zone, nowNanos);
    }

    synchronized ImmutableList<EntryStatus> entryStatuses() {
        return ImmutableList.copyOf(entryStatuses.values());
    }

    private Map<NodeName, String> callerAddresses() {
        final Map<NodeName, String> addresses = new TreeMap<>();
        entryStatuses.values().forEach(status -> addresses.put(status.node(), status.callerAddress()));
        return addresses;
    }

    /**
     * Returns a snapshot of the fleet: a new one, or the previous one if it is recent and no command was applied since.
     */
    synchronized FleetSnapshot snapshot(ControlState state, long nowNanos) {
        final boolean upToDate = snapshot.filter(cached -> nowNanos - cached.takenAtNanos() < SNAPSHOT_MAX_AGE_NANOS)
                .filter(cached -> cached.appliedIndex() == state.appliedIndex())
                .isPresent();
        if (!upToDate) {
            snapshot = Optional.of(FleetSnapshotBuilder.take(
                    state, announcements, shares, callerAddresses(), timings.announcementLeaseNanos(), nowNanos));
        }
        return snapshot.orElseThrow();
    }
}
