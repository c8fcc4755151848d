package org.wigeongrade.decisions.balancing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry node's part of the requests that the fleet may send once more.
 *
 * <p>Invariant: in any window the node sends no more requests again than its part of the ratio and the slack. Time is a
 * parameter. Not thread safe.
 */
public final class RetryAllowance {
    /** Part of what is allowed that is used, since entry nodes do not see each other's windows. */
    private static final double USED_PART = 0.8;

    private final double ratio;
    private final double slack;
    private final long windowNanos;
    private final Deque<Long> requestsNanos = new ArrayDeque<>();
    private final Deque<Long> repeatsNanos = new ArrayDeque<>();

    /**
     * @param ratio requests sent once more as a part of all requests
     * @param slack requests sent once more that the whole fleet may send beside the ratio, in each window
     */
    public RetryAllowance(double ratio, double slack, long windowNanos) {
        this.ratio = ratio;
        this.slack = slack;
        this.windowNanos = windowNanos;
    }

    /** Counts a caller's request. */
    public void requested(long nowNanos) {
        requestsNanos.addLast(nowNanos);
        forget(requestsNanos, nowNanos);
    }

    /** Counts a request that is sent once more, if it is allowed; returns whether it is. */
    public boolean tryRepeat(int entryNodes, long nowNanos) {
        forget(requestsNanos, nowNanos);
        forget(repeatsNanos, nowNanos);
        final double allowed = USED_PART * (ratio * requestsNanos.size() + slack / Math.max(1, entryNodes));
        if (repeatsNanos.size() + 1 > allowed) {
            return false;
        }
        repeatsNanos.addLast(nowNanos);
        return true;
    }

    private void forget(Deque<Long> times, long nowNanos) {
        while (!times.isEmpty() && nowNanos - times.peekFirst() >= windowNanos) {
            times.removeFirst();
        }
    }
}
