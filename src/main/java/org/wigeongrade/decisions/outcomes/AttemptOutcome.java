package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.errors.RunStatus;

/**
 * The outcome of one attempt.
 *
 * <p>Invariant: the run status is {@link RunStatus#NOT_RUN} only if no byte of the request was handed to a connection,
 * or if the endpoint itself stated, in a complete response to this attempt, that it did not run the request. Immutable;
 * safe for use from any thread.
 */
public record AttemptOutcome(AttemptEvent event) {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Classifies the observed facts of an attempt. */
    public static AttemptOutcome of(AttemptFacts facts) {
        return new AttemptOutcome(classify(facts));
    }

    public RunStatus runStatus() {
        return event.runStatus();
    }

    private static AttemptEvent classify(AttemptFacts facts) {
        if (!facts.connected()) {
            return AttemptEvent.CONNECT_FAILED;
        }
        if (!facts.requestBytesSent()) {
            return AttemptEvent.FAILED_BEFORE_FIRST_BYTE;
        }
        return facts.responseStarted() ? classifyResponse(facts) : classifyMissingResponse(facts);
    }

    private static AttemptEvent classifyMissingResponse(AttemptFacts facts) {
        return switch (facts.end()) {
            case DEADLINE_PASSED, STALL_DEADLINE_PASSED -> AttemptEvent.TIMED_OUT;
            case CALLER_GONE -> AttemptEvent.CANCELLED;
            case CONNECTION_FAILED, WHOLE_ANSWER -> AttemptEvent.FAILED_AFTER_FIRST_BYTE;
        };
    }

    private static AttemptEvent classifyResponse(AttemptFacts facts) {
        if (!facts.responseIdMatches()) {
            return AttemptEvent.ANSWER_MISMATCHED;
        }
        return switch (facts.end()) {
            case WHOLE_ANSWER -> isNotRunRefusal(facts) ? AttemptEvent.REFUSED_NOT_RUN : AttemptEvent.ANSWERED;
            case CONNECTION_FAILED -> AttemptEvent.CUT_SHORT;
            case DEADLINE_PASSED, STALL_DEADLINE_PASSED -> AttemptEvent.STALLED;
            case CALLER_GONE -> AttemptEvent.CANCELLED;
        };
    }

    private static boolean isNotRunRefusal(AttemptFacts facts) {
        boolean refusalStatus = facts.status() == TOO_MANY_REQUESTS || facts.status() == SERVICE_UNAVAILABLE;
        return refusalStatus && facts.notRunStated();
    }
}
