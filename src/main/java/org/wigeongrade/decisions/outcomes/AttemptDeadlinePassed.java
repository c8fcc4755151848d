package org.wigeongrade.decisions.outcomes;

/** Deadline of the attempt has passed: its answer would come too late for the caller. */
final class AttemptDeadlinePassed implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.ATTEMPT_DEADLINE_PASSED;
    }

    @Override
    public boolean refuses(SendFacts facts, long nowNanos) {
        return SendRule.hasPassed(facts.attemptDeadlineNanos(), nowNanos);
    }
}
