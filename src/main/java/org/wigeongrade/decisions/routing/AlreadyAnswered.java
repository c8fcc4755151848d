package org.wigeongrade.decisions.routing;

import org.wigeongrade.errors.RunStatus;

/** Refuses a retry because the complete response was received, whatever its status. */
final class AlreadyAnswered implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.ALREADY_ANSWERED;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.lastClaim() == RunStatus.COMPLETED;
    }
}
