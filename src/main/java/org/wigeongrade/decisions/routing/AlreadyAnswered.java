package org.wigeongrade.decisions.routing;

import org.wigeongrade.errors.RunClaim;

/** The whole answer came, whatever it says. */
final class AlreadyAnswered implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.ALREADY_ANSWERED;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.lastClaim() == RunClaim.COMPLETED;
    }
}
