package org.wigeongrade.decisions.overload;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.NavigableMap;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.published.RequestRank;
import org.wigeongrade.ids.ModelVersionName;

/**
 * Latency targets at which requests are admitted, so that a lower rank does not take the slots of a higher one.
 *
 * <p>A request with a loose target would be admitted at groups where a higher-ranked one with a tight target is refused,
 * and would keep them full. It is therefore admitted at a fraction of the tightest target that a higher rank of its model
 * has used recently, so that groups keep room for the higher rank. Some requests are admitted at their own target, so
 * that no rank starves.
 *
 * <p>Invariant: an admission target is never looser than the request's own. Time is a parameter, on the monotonic clock.
 * Not thread safe.
 */
public final class RankedTargets {
    /** Time for which a target counts after its last request; longer than the usual pause between two requests. */
    private static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Fraction of a higher rank's target at which lower ranks are admitted. */
    private static final double HEADROOM_FRACTION = 0.75;
    /** Fraction of the lower-ranked requests that are admitted at their own target. */
    private static final double OWN_TARGET_FRACTION = 0.16;

    private record RecentTarget(long targetMs, long expiresNanos) {}

    private final RandomGenerator random;
    private final Map<ModelVersionName, NavigableMap<Integer, RecentTarget>> byModel = new HashMap<>();

    public RankedTargets(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the target, in milliseconds, at which a request is admitted, and notes its own. */
    public long admissionTargetMs(ModelVersionName model, RequestRank rank, long targetMs, long nowNanos) {
        final NavigableMap<Integer, RecentTarget> targets = byModel.computeIfAbsent(model, name -> new TreeMap<>());
        removeExpired(targets, nowNanos);
        targets.merge(
                rank.position(),
                new RecentTarget(targetMs, nowNanos + RECENT_NANOS),
                (known, added) -> new RecentTarget(Math.min(known.targetMs(), added.targetMs()), added.expiresNanos()));
        final OptionalLong ofHigherRanks = targets.headMap(rank.position(), false).values().stream()
                .mapToLong(RecentTarget::targetMs)
                .min();
        if (ofHigherRanks.isEmpty() || random.nextDouble() < OWN_TARGET_FRACTION) {
            return targetMs;
        }
        return Math.min(targetMs, Math.round(HEADROOM_FRACTION * ofHigherRanks.getAsLong()));
    }

    private static void removeExpired(NavigableMap<Integer, RecentTarget> targets, long nowNanos) {
        final Iterator<RecentTarget> each = targets.values().iterator();
        while (each.hasNext()) {
            if (nowNanos - each.next().expiresNanos() >= 0) {
                each.remove();
            }
        }
    }
}
