package org.wigeongrade.decisions.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits the retries for each target to a fraction of its first attempts, so that retries never amplify an overload.
 *
 * <p>Invariant: over any period the retries of a target are at most {@code retriesPerAttempt} times its first attempts,
 * plus {@code reserve}. Retries are earned only by first attempts, not by the passage of time.
 *
 * <p>Thread safety: every method locks this object and acquires no other lock while holding it.
 */
public final class RetryBudget {
    private final double retriesPerAttempt;
    private final double reserve;
    private final Map<RouteTarget, Double> balances = new HashMap<>();

    /**
     * @param retriesPerAttempt retries that each first attempt earns
     * @param reserve maximum number of unused retries that a target may accumulate
     */
    public RetryBudget(double retriesPerAttempt, double reserve) {
        this.retriesPerAttempt = retriesPerAttempt;
        this.reserve = reserve;
    }

    /** Counts a first attempt. */
    public synchronized void recordFirstAttempt(RouteTarget target) {
        double balance = balances.getOrDefault(target, reserve);
        balances.put(target, Math.min(reserve, balance + retriesPerAttempt));
    }

    /** Returns whether a retry could be taken now. */
    public synchronized boolean hasRetry(RouteTarget target) {
        return balances.getOrDefault(target, reserve) >= 1;
    }

    /** Takes one retry; returns false if the budget is spent. */
    public synchronized boolean tryTakeRetry(RouteTarget target) {
        double balance = balances.getOrDefault(target, reserve);
        if (balance < 1) {
            return false;
        }
        balances.put(target, balance - 1);
        return true;
    }
}
