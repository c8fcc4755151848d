package org.wigeongrade.decisions.routing;

/** Refuses a retry because the target has spent the retries that its first attempts earned. */
final class RetryBudgetSpent implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.RETRY_BUDGET_SPENT;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return !budget.tryTakeRetry(facts.target());
    }
}
