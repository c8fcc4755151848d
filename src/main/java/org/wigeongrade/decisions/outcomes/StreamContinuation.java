package org.wigeongrade.decisions.outcomes;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Decides what becomes of one stream that has begun and whose last attempt has failed. It is the only place where such a
 * stream is given up before its deadline.
 *
 * <p>Invariants: a stream is not given up while an endpoint that was only silent may go on with it; it waits for another
 * endpoint for {@link #MAX_WAIT_NANOS} at most, and not beyond its deadline. Time is a parameter. Not thread safe.
 */
public final class StreamContinuation {
    /** What to do next. */
    public enum Step {
        /** Go on waiting for the endpoint that was left for its silence. */
        RETURN_TO_SILENT_ENDPOINT,
        /** Look for an endpoint again after {@link #RETRY_DELAY_MS}. */
        AWAIT_ENDPOINT,
        /** Give up the stream. */
        CUT
    }

    /** Time between two searches for an endpoint, in milliseconds; a view is pulled about as often. */
    public static final long RETRY_DELAY_MS = 250;
    /** A lost group is formed again within this time, if at all soon. */
    static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private OptionalLong waitEndNanos = OptionalLong.empty();

    /** Records that the stream has made progress, so that a later wait is a new one. */
    public void recordProgress() {
        waitEndNanos = OptionalLong.empty();
    }

    /**
     * Returns what to do after an attempt failed.
     *
     * @param silentEndpointLeft whether an endpoint was left for its silence and its connection is still open
     * @param endpointMayAppear whether the stream may be sent again, and only lacks an endpoint that takes it now
     * @param deadlineNanos deadline of the request
     */
    public Step next(boolean silentEndpointLeft, boolean endpointMayAppear, long deadlineNanos, long nowNanos) {
        if (silentEndpointLeft) {
            return Step.RETURN_TO_SILENT_ENDPOINT;
        }
        if (waitEndNanos.isEmpty()) {
            waitEndNanos = OptionalLong.of(nowNanos + MAX_WAIT_NANOS);
        }
        final long nextTryNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(RETRY_DELAY_MS);
        final boolean inTime = nextTryNanos - deadlineNanos < 0 && nextTryNanos - waitEndNanos.getAsLong() <= 0;
        return endpointMayAppear && inTime ? Step.AWAIT_ENDPOINT : Step.CUT;
    }
}
