package org.wigeongrade.decisions.routing;

/** The request was tried as often as one request may be. */
final class AttemptsExhausted implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.ATTEMPTS_EXHAUSTED;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.attemptsMade() >= facts.maxAttempts();
    }
}
