package org.wigeongrade.decisions.balancing;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * What one incarnation of an endpoint asked this node not to send to it.
 *
 * <p>Invariants: an incarnation that leaves never stops leaving; a pause is only ever extended; of two statements of a
 * limit, the later one counts; a share that was not used is kept for a short time only, and for one request at least.
 * Time is a parameter, on the monotonic clock. Not thread safe.
 */
public final class SendRestriction {
    /** Time for which a share that was not used may be used later. */
    private static final double MAX_UNUSED_S = 0.5;

    private static final double NANOS_PER_S = 1e9;

    private boolean leaving;
    private boolean paused;
    private long pausedUntilNanos;
    /** Empty if the endpoint never stated a limit. */
    private Optional<StatedLimit> limit = Optional.empty();

    private double sharePerSecond;
    private double allowedSends;
    private long allowedSendsNanos;

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

    /**
     * Records what the endpoint stated of the requests that it takes, unless something later is known.
     *
     * @param perSecond requests a second that this node may send
     */
    public void limitTo(StatedLimit stated, double perSecond, long nowNanos) {
        if (limit.filter(known -> known.isNewerThan(stated)).isPresent()) {
            return;
        }
        if (requestsPerSecond().isEmpty()) {
            allowedSends = 0;
            allowedSendsNanos = nowNanos;
        }
        refill(nowNanos);
        limit = Optional.of(stated);
        sharePerSecond = perSecond;
    }

    /** Returns what the endpoint last stated of the requests that it takes; empty if it never stated a limit. */
    public Optional<StatedLimit> limit() {
        return limit;
    }

    /** Returns the requests a second that the endpoint takes from all entry nodes together; empty if any number. */
    public OptionalDouble requestsPerSecond() {
        return limit.map(StatedLimit::requestsPerSecond).orElse(OptionalDouble.empty());
    }

    /** Returns the requests a second that this node may send to an endpoint that stated a limit. */
    public double sharePerSecond() {
        return sharePerSecond;
    }

    /** Returns whether this node's share of the endpoint's limit allows one more request now. */
    public boolean allowsSend(long nowNanos) {
        refill(nowNanos);
        return requestsPerSecond().isEmpty() || allowedSends >= 1;
    }

    /** Counts a request that is sent now. */
    public void recordSent(long nowNanos) {
        refill(nowNanos);
        allowedSends = Math.max(0, allowedSends - 1);
    }

    private void refill(long nowNanos) {
        final double most = Math.max(1, sharePerSecond * MAX_UNUSED_S);
        allowedSends = Math.min(most, allowedSends + sharePerSecond * (nowNanos - allowedSendsNanos) / NANOS_PER_S);
        allowedSendsNanos = nowNanos;
    }

    /** Returns whether the restriction no longer has an effect and never will. */
    public boolean hasEnded(long nowNanos) {
        return !leaving && pausedForNanos(nowNanos) == 0 && requestsPerSecond().isEmpty();
    }
}
