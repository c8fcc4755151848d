package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;

/** A reason not to retry a request. Implementations are stateless. */
interface RetryRule {
    /** All rules in evaluation order. The budget comes last, since checking it consumes a retry. */
    ImmutableList<RetryRule> ALL = ImmutableList.of(
            new AlreadyAnswered(),
            new MayHaveRun(),
            new AnswerNotResumable(),
            new AttemptsExhausted(),
            new DeadlineTooNear(),
            new RetryBudgetSpent());

    RetryRefusal refusal();

    /** Returns whether the request must not be retried. */
    boolean refuses(RetryFacts facts, RetryBudget budget);
}
