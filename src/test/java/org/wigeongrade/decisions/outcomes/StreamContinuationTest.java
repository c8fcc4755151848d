package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when a stream that has begun is given up. */
final class StreamContinuationTest {
    private static final long START_NANOS = 7;

    private final StreamContinuation continuation = new StreamContinuation();

    /** Streams were cut with seconds left, although an endpoint that was only silent could go on with them. */
    @ParameterizedTest
    @CsvSource({
        // silent endpoint left, endpoint may appear, time left in ms, step
        "true, false, 10, RETURN_TO_SILENT_ENDPOINT",
        "true, true, 3000, RETURN_TO_SILENT_ENDPOINT",
        "false, true, 3000, AWAIT_ENDPOINT",
        "false, true, 251, AWAIT_ENDPOINT",
        "false, true, 250, CUT",
        "false, false, 3000, CUT",
    })
    void streamIsCutOnlyIfNothingCanContinueIt(
            boolean silentEndpointLeft, boolean endpointMayAppear, long leftMs, StreamContinuation.Step expected) {
        assertThat(continuation.next(silentEndpointLeft, endpointMayAppear, START_NANOS + nanos(leftMs), START_NANOS))
                .isEqualTo(expected);
    }

    /** A stream that no endpoint can continue must not wait for its deadline. */
    @Test
    void waitEndsBeforeTheDeadline() {
        long nowNanos = START_NANOS;
        while (next(nowNanos) == StreamContinuation.Step.AWAIT_ENDPOINT) {
            nowNanos += nanos(StreamContinuation.RETRY_DELAY_MS);
        }

        assertThat(nowNanos - START_NANOS).isAtMost(StreamContinuation.MAX_WAIT_NANOS);
    }

    @Test
    void progressBeginsANewWait() {
        assertThat(next(START_NANOS)).isEqualTo(StreamContinuation.Step.AWAIT_ENDPOINT);
        final long laterNanos = START_NANOS + StreamContinuation.MAX_WAIT_NANOS;
        assertThat(next(laterNanos)).isEqualTo(StreamContinuation.Step.CUT);
        continuation.recordProgress();

        assertThat(next(laterNanos)).isEqualTo(StreamContinuation.Step.AWAIT_ENDPOINT);
    }

    private StreamContinuation.Step next(long nowNanos) {
        return continuation.next(false, true, START_NANOS + nanos(60_000), nowNanos);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
