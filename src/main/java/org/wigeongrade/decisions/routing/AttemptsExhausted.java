package org.wigeongrade.decisions.routing;

/** Refuses a retry because the request has used its maximum number of attempts, or may have run as often. */
final class AttemptsExhausted implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.ATTEMPTS_EXHAUSTED;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.attemptsMade() >= facts.maxAttempts() || facts.possibleRuns() >= facts.maxAttempts();
    }
}
