package org.wigeongrade.decisions.balancing;

import java.util.OptionalDouble;

/**
 * What one incarnation of an endpoint asked this node not to send to it.
 *
 * <p>Invariants: an incarnation that leaves never stops leaving; a pause is only ever extended. Time is a parameter, on
 * the monotonic clock. Not thread safe.
 */
public final class SendRestriction {
    private boolean leaving;
    private boolean paused;
    private long pausedUntilNanos;
    private OptionalDouble requestsPerSecond = OptionalDouble.empty();

    /** Records that the endpoint leaves; returns whether this was not known. */
    public boolean recordLeaving() {
        final boolean news = !leaving;
        leaving = true;
        return news;
    }

    /** Returns whether the endpoint stated that it leaves, so that it must not get new requests. */
    public boolean isLeaving() {
        return leaving;
    }

    /** Records that the endpoint wants no requests until a deadline; an earlier one than the known is ignored. */
    public void pauseUntil(long deadlineNanos) {
        if (!paused || deadlineNanos - pausedUntilNanos > 0) {
            paused = true;
            pausedUntilNanos = deadlineNanos;
        }
    }

    /** Returns the time until the endpoint may get requests again; 0 if it may get them now. */
    public long pausedForNanos(long nowNanos) {
        return paused ? Math.max(0, pausedUntilNanos - nowNanos) : 0;
    }

    /** Records the requests a second that the endpoint takes from all entry nodes together; empty if any number. */
    public void limitTo(OptionalDouble requests) {
        requestsPerSecond = requests;
    }

    /** Returns the requests a second that the endpoint takes from all entry nodes together; empty if any number. */
    public OptionalDouble requestsPerSecond() {
        return requestsPerSecond;
    }

    /** Returns whether the restriction no longer has an effect and never will. */
    public boolean hasEnded(long nowNanos) {
        return !leaving && pausedForNanos(nowNanos) == 0 && requestsPerSecond.isEmpty();
    }
}
