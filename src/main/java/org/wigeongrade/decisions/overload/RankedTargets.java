package org.wigeongrade.decisions.overload;

import java.util.HashMap;
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
    /** Time constant of the average by which requests of a rank are counted; longer than the usual pause between two. */
    private static final double AVERAGING_NANOS = TimeUnit.SECONDS.toNanos(10);
    /**
     * Requests of a higher rank, as a fraction of those of the request's own, from which on room is kept for them. Single
     * requests, for example of a monitor, do not take it from everyone else.
     */
    private static final double MIN_DEMAND_FRACTION = 0.1;

    /** Fraction of a higher rank's target at which lower ranks are admitted. */
    private static final double HEADROOM_FRACTION = 0.75;
    /** Fraction of the lower-ranked requests that are admitted at their own target. */
    private static final double OWN_TARGET_FRACTION = 0.16;

    /** Recent requests of one rank. Not thread safe. */
    private static final class Demand {
        private long targetMs;
        private double requests;
        private long updatedNanos;

        void add(long requestTargetMs, long nowNanos) {
            final double known = requests(nowNanos);
            targetMs = known < 1 ? requestTargetMs : Math.min(targetMs, requestTargetMs);
            requests = known + 1;
            updatedNanos = nowNanos;
        }

        double requests(long nowNanos) {
            return requests * Math.exp((updatedNanos - nowNanos) / AVERAGING_NANOS);
        }
    }

    private final RandomGenerator random;
    private final Map<ModelVersionName, NavigableMap<Integer, Demand>> byModel = new HashMap<>();

    public RankedTargets(RandomGenerator random) {
        this.random = random;
    }

    /** Returns the target, in milliseconds, at which a request is admitted, and notes its own. */
    public long admissionTargetMs(ModelVersionName model, RequestRank rank, long targetMs, long nowNanos) {
        final NavigableMap<Integer, Demand> byRank = byModel.computeIfAbsent(model, name -> new TreeMap<>());
        final Demand own = byRank.computeIfAbsent(rank.position(), position -> new Demand());
        own.add(targetMs, nowNanos);
        final double minRequests = MIN_DEMAND_FRACTION * own.requests(nowNanos);
        final OptionalLong ofHigherRanks = byRank.headMap(rank.position(), false).values().stream()
                .filter(demand -> demand.requests(nowNanos) >= minRequests)
                .mapToLong(demand -> demand.targetMs)
                .min();
        if (ofHigherRanks.isEmpty() || random.nextDouble() < OWN_TARGET_FRACTION) {
            return targetMs;
        }
        return Math.min(targetMs, Math.round(HEADROOM_FRACTION * ofHigherRanks.getAsLong()));
    }
}
