package org.wigeongrade.decisions.routing;

import java.util.Optional;

/** Decides whether a request is retried. Safe for use from any thread: the budget is thread-safe. */
public final class Retries {
    private final RetryBudget budget;

    public Retries(RetryBudget budget) {
        this.budget = budget;
    }

    /** Counts the first attempt of a request, which earns a fraction of a retry for its target. */
    public void recordFirstAttempt(RouteTarget target) {
        budget.recordFirstAttempt(target);
    }

    /**
     * Returns why the request must not be retried; empty if it may be, in which case one retry is taken from the
     * budget.
     */
    public Optional<RetryRefusal> refusal(RetryFacts facts) {
        return RetryRule.ALL.stream()
                .filter(rule -> rule.refuses(facts, budget))
                .map(RetryRule::refusal)
                .findFirst();
    }
}
