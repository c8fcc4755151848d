package org.wigeongrade.decisions.routing;

import org.wigeongrade.errors.RunStatus;

/**
 * Refuses a retry because the request is not idempotent and may have run; running it again could apply its effect
 * twice.
 */
final class MayHaveRun implements RetryRule {
    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.MAY_HAVE_RUN;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.lastClaim() == RunStatus.UNKNOWN && !facts.idempotent();
    }
}
