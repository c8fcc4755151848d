package org.wigeongrade.decisions.routing;

import java.util.concurrent.TimeUnit;

/** The deadline leaves no time for another attempt, so the caller gets its final answer at once. */
final class DeadlineTooNear implements RetryRule {
    private static final long LEAST_TIME_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    @Override
    public RetryRefusal refusal() {
        return RetryRefusal.DEADLINE_TOO_NEAR;
    }

    @Override
    public boolean refuses(RetryFacts facts, RetryBudget budget) {
        return facts.deadlineNanos() - facts.nowNanos() < LEAST_TIME_NANOS;
    }
}
