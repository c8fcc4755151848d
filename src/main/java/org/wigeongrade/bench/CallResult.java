package org.wigeongrade.bench;

import java.util.List;

/**
 * The result of one call as its caller saw it.
 *
 * <p>{@code code} is {@code ok}, the error code of the response, or a code that the caller sets itself: {@code
 * wrong_answer}, {@code cut_short}, {@code no_answer} or {@code refused_connection}. {@code runStatus} is what the
 * response says about whether the request ran: {@code not-run}, {@code unknown}, {@code completed} or {@code none}.
 * Times are nanoseconds from the scheduled start; {@code firstTokenNanos} is negative if no token arrived. Immutable;
 * safe for use from any thread.
 */
public record CallResult(
        int httpStatus,
        String code,
        String runStatus,
        long latencyNanos,
        long firstTokenNanos,
        List<Long> tokenGapsNanos,
        long retryAfterMs,
        String text) {
    /** Code of a call that received a complete and correct response. */
    public static final String OK = "ok";

    public CallResult {
        tokenGapsNanos = List.copyOf(tokenGapsNanos);
    }

    /** Returns whether a complete and correct response arrived. */
    public boolean isOk() {
        return code.equals(OK);
    }

    /** Returns whether the caller was told that no part of its request ran. */
    public boolean saysNotRun() {
        return runStatus.equals("not-run");
    }
}
