package org.wigeongrade.callers;

import java.util.Optional;
import org.wigeongrade.decisions.outcomes.AttemptFacts;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.endpoints.ResponseHead;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.ids.AttemptId;

/** One attempt and the head of its response, once that has arrived. Not thread safe; guarded by the exchange's lock. */
final class AttemptProgress {
    private final AttemptId attemptId;
    private final DispatchResult.Ready dispatch;
    private Optional<ResponseHead> head = Optional.empty();

    AttemptProgress(AttemptId attemptId, DispatchResult.Ready dispatch) {
        this.attemptId = attemptId;
        this.dispatch = dispatch;
    }

    DispatchResult.Ready dispatch() {
        return dispatch;
    }

    AttemptId attemptId() {
        return attemptId;
    }

    void recordHead(ResponseHead received) {
        head = Optional.of(received);
    }

    ResponseHead head() {
        return head.orElseThrow();
    }

    boolean isMismatched() {
        return head.filter(received -> received.isForOtherAttempt(attemptId)).isPresent();
    }

    /** Returns the outcome of an attempt whose response body was complete according to its HTTP framing. */
    AttemptOutcome completedOutcome() {
        return AttemptOutcome.of(facts(AttemptFacts.End.WHOLE_ANSWER));
    }

    /** Returns the outcome of an attempt that was cancelled because the caller disconnected. */
    AttemptOutcome cancelledOutcome() {
        return AttemptOutcome.of(facts(AttemptFacts.End.CALLER_GONE));
    }

    /** Returns the outcome of an attempt whose connection failed or timed out. */
    AttemptOutcome failedOutcome(SendFailure failure) {
        return switch (failure) {
            case CONNECT_FAILED -> AttemptOutcome.of(AttemptFacts.connectFailed());
            case CONNECTION_LOST -> AttemptOutcome.of(facts(AttemptFacts.End.CONNECTION_FAILED));
            case TIMED_OUT -> AttemptOutcome.of(facts(AttemptFacts.End.STALL_DEADLINE_PASSED));
        };
    }

    private AttemptFacts facts(AttemptFacts.End end) {
        return head.map(received -> AttemptFacts.withResponse(
                        received.status(), received.isRefusedBeforeRun(), !received.isForOtherAttempt(attemptId), end))
                .orElseGet(() -> AttemptFacts.withoutResponse(true, end));
    }
}
