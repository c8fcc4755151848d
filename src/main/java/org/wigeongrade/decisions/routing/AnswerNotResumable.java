package org.wigeongrade.decisions.routing;

/** Refuses a retry because part of the response was forwarded to the caller and no other endpoint can continue it. */
final class AnswerNotResumable implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.ANSWER_NOT_RESUMABLE;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return !facts.resumable();
    }
}
