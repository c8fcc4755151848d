package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;

/** One reason not to try a request again. Implementations are stateless. */
interface RetryRule {
    /** All rules, in the order in which they are asked; the budget comes last, as only it is used up. */
    ImmutableList<RetryRule> ALL = ImmutableList.of(
            new AlreadyAnswered(),
            new MayHaveRun(),
            new AnswerNotResumable(),
            new AttemptsExhausted(),
            new DeadlineTooNear(),
            new RetryBudgetSpent());

    RetryRefusal refusal();

    /** Returns whether the request must not be tried again. */
    boolean refuses(RetryFacts facts, RetryBudget budget);
}
