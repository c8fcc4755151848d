package org.wigeongrade.decisions.outcomes;

/**
 * What was seen of one attempt.
 *
 * <p>{@code bytesGiven} is true from the moment that any byte of the request was handed to the connection, whether or not
 * it is known to have left. {@code answerIdMatches} compares the attempt id that the answer repeats. {@code end} tells
 * how the exchange ended. Immutable; safe for use from any thread.
 */
public record AttemptFacts(
        boolean connected,
        boolean bytesGiven,
        boolean answerBegan,
        int status,
        boolean notRunStated,
        boolean answerIdMatches,
        End end) {
    /** How an exchange ended. */
    public enum End {
        WHOLE_ANSWER,
        CONNECTION_FAILED,
        DEADLINE_PASSED,
        STALL_DEADLINE_PASSED,
        CALLER_GONE
    }

    /** Facts of an attempt that could not connect. */
    public static AttemptFacts connectFailed() {
        return new AttemptFacts(false, false, false, 0, false, false, End.CONNECTION_FAILED);
    }

    /** Facts of an attempt that ended before an answer began. */
    public static AttemptFacts noAnswer(boolean bytesGiven, End end) {
        return new AttemptFacts(true, bytesGiven, false, 0, false, false, end);
    }

    /** Facts of an attempt whose answer began. */
    public static AttemptFacts answer(int status, boolean notRunStated, boolean answerIdMatches, End end) {
        return new AttemptFacts(true, true, true, status, notRunStated, answerIdMatches, end);
    }
}
