package org.wigeongrade.decisions.limits;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.wigeongrade.ids.NodeName;

/**
 * Allocates the shares of one limited resource.
 *
 * <p>Invariant: live shares, slots pending reclaim and slots inherited from a previous leader sum to at most the limit,
 * unless the limit was lowered below what is in use; then no slots are granted until the sum is below the limit again.
 * Not thread-safe; {@link ShareAllocator} guards it.
 */
final class ResourceAllocator {
    private final ShareKey key;
    private final long previousLeasesEndNanos;
    private final SlowStart slowStart;
    private final PendingReclaim inherited;
    private final Map<NodeName, AllocatedShare> liveShares = new TreeMap<>();
    private final Map<HolderIncarnation, PendingReclaim> pendingReclaims = new HashMap<>();
    private Optional<NodeName> coldHolder = Optional.empty();

    /** One incarnation of a holder's process. */
    private record HolderIncarnation(NodeName holder, long incarnation) {}

    ResourceAllocator(ShareKey key, ResourceLimit limit, WarmupState initialState, long previousLeasesEndNanos) {
        this.key = key;
        this.previousLeasesEndNanos = previousLeasesEndNanos;
        this.slowStart = new SlowStart(limit, initialState);
        long workNanos = key.kind().inheritsWork() ? limit.longestRunNanos() : 0;
        this.inherited =
                new PendingReclaim(limit.slots(), -1, previousLeasesEndNanos, previousLeasesEndNanos + workNanos);
    }

    void setLimit(ResourceLimit limit) {
        slowStart.setLimit(limit);
    }

    void applyColdSign() {
        slowStart.applyColdSign();
    }

    int slots() {
        return slowStart.slots();
    }

    Optional<NodeName> coldHolder() {
        return coldHolder;
    }

    void applyEndpointReport(int running, long notBeforeNanos, long nowNanos) {
        expire(nowNanos);
        inherited.applyEndpointReport(running, notBeforeNanos);
        pendingReclaims.values().forEach(reclaim -> reclaim.applyEndpointReport(running, notBeforeNanos));
    }

    /** Returns the slots that are or may be in use. */
    int allocated(long nowNanos) {
        expire(nowNanos);
        int inLiveShares =
                liveShares.values().stream().mapToInt(AllocatedShare::allocated).sum();
        return inLiveShares + unreclaimedSlots(nowNanos);
    }

    Optional<ShareGrant> applyReport(
            NodeName holder,
            long incarnation,
            ShareReport report,
            long nowNanos,
            long leaseNanos,
            long driftMarginNanos) {
        expire(nowNanos);
        dropOlderIncarnation(holder, incarnation);
        if (isOutdated(holder, incarnation, report)) {
            return Optional.empty();
        }
        Optional<AllocatedShare> known = Optional.ofNullable(liveShares.get(holder));
        int heldSlots = known.map(share -> Math.min(report.held(), share.allocated()))
                .orElseGet(() -> takeOverSlots(holder, incarnation, report, nowNanos));
        AllocatedShare share = known.orElseGet(() -> new AllocatedShare(holder, incarnation, report, nowNanos));
        slowStart.applyReport(report, share.newWarmCompletions(report));
        share.applyReport(report, heldSlots);
        liveShares.put(holder, share);
        updateColdHolder(share, nowNanos);
        return Optional.of(grant(share, report, nowNanos, leaseNanos, driftMarginNanos));
    }

    private boolean isOutdated(NodeName holder, long incarnation, ShareReport report) {
        AllocatedShare known = liveShares.get(holder);
        if (known != null) {
            return known.incarnation > incarnation || known.isStale(report);
        }
        PendingReclaim reclaim = pendingReclaims.get(new HolderIncarnation(holder, incarnation));
        return reclaim != null && reclaim.isStale(report);
    }

    private ShareGrant grant(
            AllocatedShare share, ShareReport report, long nowNanos, long leaseNanos, long driftMarginNanos) {
        int allocatedToOthers = allocated(nowNanos) - share.allocated();
        int free = Math.max(0, slowStart.slots() - allocatedToOthers);
        int slots = Math.min(free, targetSlots(share.holder, nowNanos / leaseNanos));
        int coldSlots = mayKeepColdSlots(share) ? slowStart.limit().coldSlots() : 0;
        share.recordGrant(slots, coldSlots, nowNanos + leaseNanos + driftMarginNanos);
        return new ShareGrant(key, report.sequence(), slots, coldSlots, slowStart.epoch(), leaseNanos);
    }

    private int targetSlots(NodeName holder, long rotation) {
        if (slowStart.isCold()) {
            return isColdHolder(holder) ? slowStart.slots() : 0;
        }
        List<FairDivision.Demand> demands = new ArrayList<>();
        liveShares.values().forEach(share -> demands.add(share.demand()));
        return FairDivision.divide(slowStart.slots(), demands, rotation).getOrDefault(holder, 0);
    }

    /**
     * Returns the slots that a holder without a live share keeps.
     *
     * <p>An incarnation that this leader knew keeps what it reports, up to what is pending reclaim for it. Any other
     * incarnation keeps what a previous leader granted it while those leases are valid. Its work in flight beyond that
     * remains counted as inherited: it may already have ended and its slots may have been granted to others, so it must
     * not reduce what is counted for them.
     */
    private int takeOverSlots(NodeName holder, long incarnation, ShareReport report, long nowNanos) {
        PendingReclaim pending = pendingReclaims.remove(new HolderIncarnation(holder, incarnation));
        if (pending != null) {
            return Math.min(report.held(), pending.slots(nowNanos));
        }
        if (nowNanos - previousLeasesEndNanos > 0) {
            return 0;
        }
        int kept = Math.min(report.granted(), inherited.slots(nowNanos));
        inherited.subtract(kept);
        return kept;
    }

    private void dropOlderIncarnation(NodeName holder, long incarnation) {
        AllocatedShare share = liveShares.get(holder);
        if (share != null && share.incarnation < incarnation) {
            liveShares.remove(holder);
            scheduleReclaim(share);
        }
    }

    private void expire(long nowNanos) {
        pendingReclaims
                .entrySet()
                .removeIf(entry -> entry.getValue().slots(nowNanos) == 0 && hasNewerIncarnation(entry.getKey()));
        Iterator<AllocatedShare> shares = liveShares.values().iterator();
        while (shares.hasNext()) {
            AllocatedShare share = shares.next();
            if (share.isExpired(nowNanos)) {
                shares.remove();
                scheduleReclaim(share);
            }
        }
    }

    private boolean hasNewerIncarnation(HolderIncarnation older) {
        AllocatedShare share = liveShares.get(older.holder());
        return share != null && share.incarnation > older.incarnation();
    }

    private void scheduleReclaim(AllocatedShare share) {
        long workNanos = key.kind().outlivesDeadline() ? slowStart.limit().longestRunNanos() : 0;
        PendingReclaim reclaim = new PendingReclaim(
                share.allocated(), share.sequence(), share.deadlineNanos(), share.deadlineNanos() + workNanos);
        pendingReclaims.put(new HolderIncarnation(share.holder, share.incarnation), reclaim);
    }

    private int unreclaimedSlots(long nowNanos) {
        int slots = inherited.slots(nowNanos);
        for (PendingReclaim reclaim : pendingReclaims.values()) {
            slots += reclaim.slots(nowNanos);
        }
        return slots;
    }

    /**
     * Updates which holder may use the endpoint while it is cold. The role moves only after the old holder released its
     * cold slots or expired.
     */
    private void updateColdHolder(AllocatedShare share, long nowNanos) {
        if (coldHolder.isPresent() && !liveShares.containsKey(coldHolder.get())) {
            coldHolder = Optional.empty();
        }
        if (isColdHolder(share.holder) && share.coldSlots() == 0 && !mayKeepColdSlots(share)) {
            coldHolder = Optional.empty();
        }
        if (coldHolder.isPresent()) {
            return;
        }
        boolean previousLeasesValid = nowNanos - previousLeasesEndNanos <= 0;
        if (share.coldSlots() > 0
                || (!previousLeasesValid && preferredColdHolder().equals(share.holder))) {
            coldHolder = Optional.of(share.holder);
        }
    }

    private boolean mayKeepColdSlots(AllocatedShare share) {
        return isColdHolder(share.holder)
                && (slowStart.isCold() || preferredColdHolder().equals(share.holder));
    }

    private boolean isColdHolder(NodeName holder) {
        return coldHolder.equals(Optional.of(holder));
    }

    /** Chooses the cold holder by rendezvous hashing, which spreads the role for different keys over the holders. */
    private NodeName preferredColdHolder() {
        ImmutableList<NodeName> holders = ImmutableList.copyOf(liveShares.keySet());
        return holders.stream()
                .max(Comparator.comparingLong(this::rendezvousWeight))
                .orElseThrow();
    }

    private long rendezvousWeight(NodeName holder) {
        return Hashing.murmur3_128()
                .hashString(key + "|" + holder, StandardCharsets.UTF_8)
                .asLong();
    }
}
