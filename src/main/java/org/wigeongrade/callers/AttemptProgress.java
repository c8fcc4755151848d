package org.wigeongrade.callers;

import java.util.Optional;
import org.wigeongrade.decisions.outcomes.AttemptFacts;
import org.wigeongrade.decisions.outcomes.AttemptOutcome;
import org.wigeongrade.endpoints.AnswerHead;
import org.wigeongrade.endpoints.SendFailure;
import org.wigeongrade.ids.AttemptId;

/** What was seen of one attempt so far. Not thread safe; one exchange guards it. */
final class AttemptProgress {
    private final AttemptId attemptId;
    private final Dispatch.Ready ready;
    private Optional<AnswerHead> head = Optional.empty();

    AttemptProgress(AttemptId attemptId, Dispatch.Ready ready) {
        this.attemptId = attemptId;
        this.ready = ready;
    }

    Dispatch.Ready ready() {
        return ready;
    }

    AttemptId attemptId() {
        return attemptId;
    }

    void began(AnswerHead newHead) {
        head = Optional.of(newHead);
    }

    AnswerHead head() {
        return head.orElseThrow();
    }

    boolean belongsToOther() {
        return head.filter(begun -> begun.belongsToOther(attemptId)).isPresent();
    }

    /** Returns the outcome of an answer whose body ended as its framing promised. */
    AttemptOutcome wholeAnswer() {
        return AttemptOutcome.of(facts(AttemptFacts.End.WHOLE_ANSWER));
    }

    /** Returns the outcome of an attempt that the caller gave up. */
    AttemptOutcome callerGone() {
        return AttemptOutcome.of(facts(AttemptFacts.End.CALLER_GONE));
    }

    /** Returns the outcome of a send that failed. */
    AttemptOutcome failed(SendFailure failure) {
        return switch (failure) {
            case CONNECT_FAILED -> AttemptOutcome.of(AttemptFacts.connectFailed());
            case CONNECTION_LOST -> AttemptOutcome.of(facts(AttemptFacts.End.CONNECTION_FAILED));
            case TIMED_OUT -> AttemptOutcome.of(facts(AttemptFacts.End.STALL_DEADLINE_PASSED));
        };
    }

    private AttemptFacts facts(AttemptFacts.End end) {
        return head.map(begun -> AttemptFacts.answer(
                        begun.status(), begun.statesNotRun(), !begun.belongsToOther(attemptId), end))
                .orElseGet(() -> AttemptFacts.noAnswer(true, end));
    }
}
