package org.wigeongrade.decisions.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Bounds the retries for each target to a part of its first attempts, so that retries never multiply an overload.
 *
 * <p>Invariant: over any span the retries of a target are at most {@code retriesPerAttempt} times its first attempts,
 * plus {@code reserve}. Nothing is earned by the clock.
 *
 * <p>Thread safety: all methods lock the budget, which is a leaf: nothing else is locked inside.
 */
public final class RetryBudget {
    private final double retriesPerAttempt;
    private final double reserve;
    private final Map<RouteTarget, Double> tokens = new HashMap<>();

    /**
     * @param retriesPerAttempt retries that each first attempt earns
     * @param reserve retries that a target may save up
     */
    public RetryBudget(double retriesPerAttempt, double reserve) {
        this.retriesPerAttempt = retriesPerAttempt;
        this.reserve = reserve;
    }

    /** Counts a first attempt. */
    public synchronized void firstAttempt(RouteTarget target) {
        double saved = tokens.getOrDefault(target, reserve);
        tokens.put(target, Math.min(reserve, saved + retriesPerAttempt));
    }

    /** Returns whether a retry could be taken now. */
    public synchronized boolean hasRetry(RouteTarget target) {
        return tokens.getOrDefault(target, reserve) >= 1;
    }

    /** Takes one retry; returns false if the budget is spent. */
    public synchronized boolean tryRetry(RouteTarget target) {
        double saved = tokens.getOrDefault(target, reserve);
        if (saved < 1) {
            return false;
        }
        tokens.put(target, saved - 1);
        return true;
    }
}
