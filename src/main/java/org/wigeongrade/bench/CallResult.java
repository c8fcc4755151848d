package org.wigeongrade.bench;

import java.util.List;

/**
 * What came of one call as its caller saw it.
 *
 * <p>{@code code} is {@code ok}, the error code of the answer, or {@code wrong_answer}, {@code cut_short},
 * {@code no_answer} or {@code refused_connection} as the caller found it. {@code runClaim} is what the answer says about whether the
 * request ran: {@code not-run}, {@code unknown}, {@code completed} or {@code none}. Times are nanoseconds from the
 * scheduled start; {@code firstTokenNanos} is negative if no token came. Immutable; safe for use from any thread.
 */
public record CallResult(
        int httpStatus,
        String code,
        String runClaim,
        long latencyNanos,
        long firstTokenNanos,
        List<Long> tokenGapsNanos,
        long retryAfterMs,
        String text) {
    /** Code of a call whose whole answer is right. */
    public static final String OK = "ok";

    public CallResult {
        tokenGapsNanos = List.copyOf(tokenGapsNanos);
    }

    /** Returns whether the whole and right answer came. */
    public boolean isOk() {
        return code.equals(OK);
    }

    /** Returns whether the caller was told that nothing of its request ran. */
    public boolean saysNotRun() {
        return runClaim.equals("not-run");
    }
}
