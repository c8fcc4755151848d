package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.errors.RunClaim;

/**
 * The end of one attempt.
 *
 * <p>Invariant: {@link RunClaim#NOT_RUN} stands only where no byte of the request was given to a connection, or the
 * endpoint itself stated in a whole answer to this attempt that it did not run it. Immutable; safe for use from any
 * thread.
 */
public record AttemptOutcome(AttemptEvent event) {
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;

    /** Classifies what was seen of an attempt. */
    public static AttemptOutcome of(AttemptFacts facts) {
        return new AttemptOutcome(classify(facts));
    }

    public RunClaim claim() {
        return event.claim();
    }

    private static AttemptEvent classify(AttemptFacts facts) {
        if (!facts.connected()) {
            return AttemptEvent.CONNECT_FAILED;
        }
        if (!facts.bytesGiven()) {
            return AttemptEvent.FAILED_BEFORE_FIRST_BYTE;
        }
        return facts.answerBegan() ? classifyAnswer(facts) : classifySilence(facts);
    }

    private static AttemptEvent classifySilence(AttemptFacts facts) {
        return switch (facts.end()) {
            case DEADLINE_PASSED, STALL_DEADLINE_PASSED -> AttemptEvent.TIMED_OUT;
            case CALLER_GONE -> AttemptEvent.CANCELLED;
            case CONNECTION_FAILED, WHOLE_ANSWER -> AttemptEvent.FAILED_AFTER_FIRST_BYTE;
        };
    }

    private static AttemptEvent classifyAnswer(AttemptFacts facts) {
        if (!facts.answerIdMatches()) {
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
