package org.wigeongrade.decisions.balancing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry node's share of the fleet's retry budget.
 *
 * <p>Invariant: in any window the node retries no more requests than its share of the ratio and the slack allows. Time
 * is a parameter. Not thread safe.
 */
public final class RetryBudgetShare {
    /**
     * Fraction of the allowed retries that is used; the rest is a margin, because entry nodes do not see each other's
     * windows.
     */
    private static final double USED_FRACTION = 0.8;

    private final double ratio;
    private final double slack;
    private final long windowNanos;
    private final Deque<Long> requestsNanos = new ArrayDeque<>();
    private final Deque<Long> retriesNanos = new ArrayDeque<>();

    /**
     * @param ratio ratio of retries to requests
     * @param slack retries that the whole fleet may send in each window in addition to the ratio
     */
    public RetryBudgetShare(double ratio, double slack, long windowNanos) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanos = windowNanos;
    }

    /** Records a caller's request. */
    public void recordRequest(long nowNanos) {
        requestsNanos.addLast(nowNanos);
        removeOld(requestsNanos, nowNanos);
    }

    /** Records a retry if it is allowed, and returns whether it is. */
    public boolean tryRetry(int entryNodes, long nowNanos) {
        removeOld(requestsNanos, nowNanos);
        removeOld(retriesNanos, nowNanos);
        final double allowed = USED_FRACTION * (ratio * requestsNanos.size() + slack / Math.max(1, entryNodes));
        if (retriesNanos.size() + 1 > allowed) {
            return false;
        }
        retriesNanos.addLast(nowNanos);
        return true;
    }

    private void removeOld(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() >= windowNanos) {
            times.removeFirst();
        }
    }
}
