package org.wigeongrade.decisions.outcomes;

/**
 * What was observed of one attempt.
 *
 * <p>{@code requestBytesSent} is true as soon as any byte of the request was handed to the connection, whether or not
 * it is known to have left this VM. {@code responseIdMatches} tells whether the response repeats the id of this
 * attempt. {@code notRunStated} tells whether the endpoint stated that it did not run the request. {@code end} tells
 * how the exchange ended. Immutable; safe for use from any thread.
 */
public record AttemptFacts(
        boolean connected,
        boolean requestBytesSent,
        boolean responseStarted,
        int status,
        boolean notRunStated,
        boolean responseIdMatches,
        End end) {
    /** How an exchange ended. */
    public enum End {
        WHOLE_ANSWER,
        CONNECTION_FAILED,
        DEADLINE_PASSED,
        STALL_DEADLINE_PASSED,
        CALLER_GONE
    }

    /** Returns the facts of an attempt that could not connect. */
    public static AttemptFacts connectFailed() {
        return new AttemptFacts(false, false, false, 0, false, false, End.CONNECTION_FAILED);
    }

    /** Returns the facts of an attempt that ended before a response started. */
    public static AttemptFacts withoutResponse(boolean requestBytesSent, End end) {
        return new AttemptFacts(true, requestBytesSent, false, 0, false, false, end);
    }

    /** Returns the facts of an attempt whose response started. */
    public static AttemptFacts withResponse(int status, boolean notRunStated, boolean responseIdMatches, End end) {
        return new AttemptFacts(true, true, true, status, notRunStated, responseIdMatches, end);
    }
}
