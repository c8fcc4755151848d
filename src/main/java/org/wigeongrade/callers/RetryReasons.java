package org.wigeongrade.callers;

import org.wigeongrade.decisions.outcomes.AttemptEvent;
import org.wigeongrade.metrics.RetryReason;

/**
 * Maps the end of an attempt to the reason under which its retry is counted. Stateless; safe for use from any thread.
 */
final class RetryReasons {
    private RetryReasons() {}

    /** Returns the reason; {@code resumed} is true if the caller already has part of the response. */
    static RetryReason of(AttemptEvent event, boolean resumed) {
        return switch (event) {
            case CONNECT_FAILED, FAILED_BEFORE_FIRST_BYTE, NOT_SENT -> RetryReason.CONNECT_FAILED;
            case REFUSED_NOT_RUN -> RetryReason.ENDPOINT_REFUSED;
            case STALLED, TIMED_OUT -> RetryReason.STREAM_STALLED;
            case ANSWER_MISMATCHED -> RetryReason.ANSWER_MISMATCHED;
            case CUT_SHORT -> resumed ? RetryReason.STREAM_CUT_SHORT : RetryReason.ANSWER_CUT_SHORT;
            case FAILED_AFTER_FIRST_BYTE, ANSWERED, CANCELLED -> RetryReason.ENDPOINT_FAILED;
        };
    }
}
