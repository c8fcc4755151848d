package org.wigeongrade.decisions.routing;

import java.util.concurrent.TimeUnit;

/** Refuses a retry because too little time is left before the deadline; the caller gets its final response at once. */
final class DeadlineTooNear implements RetryRule {
    private static final long MIN_REMAINING_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.DEADLINE_TOO_NEAR;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.deadlineNanos() - facts.nowNanos() < MIN_REMAINING_NANOS;
    }
}
