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
 * The shares of one bounded thing.
 *
 * <p>Invariant: live shares, slots to reclaim and slots inherited from an older leader sum to the bound at most, unless
 * the bound was lowered below what is in use; then nothing is given out until the sum is below it again. Not
 * thread-safe; {@link ShareLedger} guards it.
 */
final class KeyLedger {
    private final ShareKey key;
    private final long olderLeasesEndNanos;
    private final ColdRamp ramp;
    private final Reclaim inherited;
    private final Map<NodeName, HolderShare> live = new TreeMap<>();
    private final Map<HolderLife, Reclaim> reclaims = new HashMap<>();
    private Optional<NodeName> coldHolder = Optional.empty();

    /** One process life of a holder. */
    private record HolderLife(NodeName holder, long incarnation) {}

    KeyLedger(ShareKey key, ShareBound bound, Warmth warmth, long olderLeasesEndNanos) {
        this.key = key;
        this.olderLeasesEndNanos = olderLeasesEndNanos;
        this.ramp = new ColdRamp(bound, warmth);
        long workNanos = key.kind().inheritsWork() ? bound.longestRunNanos() : 0;
        this.inherited = new Reclaim(bound.slots(), -1, olderLeasesEndNanos, olderLeasesEndNanos + workNanos);
    }

    void setBound(ShareBound bound) {
        ramp.setBound(bound);
    }

    void coldSign() {
        ramp.coldSign();
    }

    int slots() {
        return ramp.slots();
    }

    Optional<NodeName> coldHolder() {
        return coldHolder;
    }

    void endpointRuns(int running, long notBeforeNanos, long nowNanos) {
        expire(nowNanos);
        inherited.endpointRuns(running, notBeforeNanos);
        reclaims.values().forEach(reclaim -> reclaim.endpointRuns(running, notBeforeNanos));
    }

    /** Returns the slots that are or may be in use. */
    int charged(long nowNanos) {
        expire(nowNanos);
        int liveSlots = live.values().stream().mapToInt(HolderShare::charged).sum();
        return liveSlots + unreclaimed(nowNanos);
    }

    Optional<ShareGrant> report(
            NodeName holder, long incarnation, ShareReport report, long nowNanos, long leaseNanos, long marginNanos) {
        expire(nowNanos);
        dropOlderLife(holder, incarnation);
        if (isOutdated(holder, incarnation, report)) {
            return Optional.empty();
        }
        Optional<HolderShare> known = Optional.ofNullable(live.get(holder));
        int held = known.map(share -> Math.min(report.held(), share.charged()))
                .orElseGet(() -> honoured(holder, incarnation, report, nowNanos));
        HolderShare share = known.orElseGet(() -> new HolderShare(holder, incarnation, report, nowNanos));
        ramp.report(report, share.newWarmCompletions(report));
        share.reported(report, held);
        live.put(holder, share);
        nameColdHolder(share, nowNanos);
        return Optional.of(grant(share, report, nowNanos, leaseNanos, marginNanos));
    }

    private boolean isOutdated(NodeName holder, long incarnation, ShareReport report) {
        HolderShare known = live.get(holder);
        if (known != null) {
            return known.incarnation > incarnation || known.isStale(report);
        }
        Reclaim reclaim = reclaims.get(new HolderLife(holder, incarnation));
        return reclaim != null && reclaim.isStale(report);
    }

    private ShareGrant grant(HolderShare share, ShareReport report, long nowNanos, long leaseNanos, long marginNanos) {
        int others = charged(nowNanos) - share.charged();
        int free = Math.max(0, ramp.slots() - others);
        int slots = Math.min(free, target(share.holder, nowNanos / leaseNanos));
        int coldSlots = mayKeepColdSlots(share) ? ramp.bound().coldSlots() : 0;
        share.granted(slots, coldSlots, nowNanos + leaseNanos + marginNanos);
        return new ShareGrant(key, report.sequence(), slots, coldSlots, ramp.epoch(), leaseNanos);
    }

    private int target(NodeName holder, long rotation) {
        if (ramp.isCold()) {
            return isColdHolder(holder) ? ramp.slots() : 0;
        }
        List<FairDivision.Want> wants = new ArrayList<>();
        live.values().forEach(share -> wants.add(share.want()));
        return FairDivision.divide(ramp.slots(), wants, rotation).getOrDefault(holder, 0);
    }

    /**
     * Returns the slots that a holder without a live share keeps.
     *
     * <p>A life that this leader knew keeps what it says within what is counted for it. Another life keeps what an older
     * leader granted it, while those leases run. Work in flight beyond that stays counted as inherited: it may have ended
     * already and its slots may have gone to others, so it must not lower what is counted for them.
     */
    private int honoured(NodeName holder, long incarnation, ShareReport report, long nowNanos) {
        Reclaim own = reclaims.remove(new HolderLife(holder, incarnation));
        if (own != null) {
            return Math.min(report.held(), own.slots(nowNanos));
        }
        if (nowNanos - olderLeasesEndNanos > 0) {
            return 0;
        }
        int kept = Math.min(report.granted(), inherited.slots(nowNanos));
        inherited.lower(kept);
        return kept;
    }

    private void dropOlderLife(NodeName holder, long incarnation) {
        HolderShare share = live.get(holder);
        if (share != null && share.incarnation < incarnation) {
            live.remove(holder);
            reclaimLater(share);
        }
    }

    private void expire(long nowNanos) {
        reclaims.entrySet().removeIf(entry -> entry.getValue().slots(nowNanos) == 0 && hasNewerLife(entry.getKey()));
        Iterator<HolderShare> shares = live.values().iterator();
        while (shares.hasNext()) {
            HolderShare share = shares.next();
            if (share.isExpired(nowNanos)) {
                shares.remove();
                reclaimLater(share);
            }
        }
    }

    private boolean hasNewerLife(HolderLife life) {
        HolderShare share = live.get(life.holder());
        return share != null && share.incarnation > life.incarnation();
    }

    private void reclaimLater(HolderShare share) {
        long workNanos = key.kind().outlivesDeadline() ? ramp.bound().longestRunNanos() : 0;
        Reclaim reclaim = new Reclaim(
                share.charged(), share.sequence(), share.deadlineNanos(), share.deadlineNanos() + workNanos);
        reclaims.put(new HolderLife(share.holder, share.incarnation), reclaim);
    }

    private int unreclaimed(long nowNanos) {
        int slots = inherited.slots(nowNanos);
        for (Reclaim reclaim : reclaims.values()) {
            slots += reclaim.slots(nowNanos);
        }
        return slots;
    }

    /** Names a holder for the cold start; the name moves only after the old holder gave up its cold slots or expired. */
    private void nameColdHolder(HolderShare share, long nowNanos) {
        if (coldHolder.isPresent() && !live.containsKey(coldHolder.get())) {
            coldHolder = Optional.empty();
        }
        if (isColdHolder(share.holder) && share.coldSlots() == 0 && !mayKeepColdSlots(share)) {
            coldHolder = Optional.empty();
        }
        if (coldHolder.isPresent()) {
            return;
        }
        boolean olderLeasesRun = nowNanos - olderLeasesEndNanos <= 0;
        if (share.coldSlots() > 0 || (!olderLeasesRun && preferredColdHolder().equals(share.holder))) {
            coldHolder = Optional.of(share.holder);
        }
    }

    private boolean mayKeepColdSlots(HolderShare share) {
        return isColdHolder(share.holder)
                && (ramp.isCold() || preferredColdHolder().equals(share.holder));
    }

    private boolean isColdHolder(NodeName holder) {
        return coldHolder.equals(Optional.of(holder));
    }

    /** Spreads the names over the holders by rendezvous hashing. */
    private NodeName preferredColdHolder() {
        ImmutableList<NodeName> holders = ImmutableList.copyOf(live.keySet());
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
