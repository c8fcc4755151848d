package org.wigeongrade.decisions.routing;

import java.util.Optional;

/** Decides whether a request is tried again. Safe for use from any thread: the budget guards itself. */
public final class Retries {
    private final RetryBudget budget;

    public Retries(RetryBudget budget) {
        this.budget = budget;
    }

    /** Counts a request's first attempt, which earns part of a retry for its target. */
    public void firstAttempt(RouteTarget target) {
        budget.firstAttempt(target);
    }

    /** Returns why the request is not tried again; empty if it may be, and then one retry of the budget is taken. */
    public Optional<RetryRefusal> refusal(RetryFacts facts) {
        return RetryRule.ALL.stream()
                .filter(rule -> rule.refuses(facts, budget))
                .map(RetryRule::refusal)
                .findFirst();
    }
}
