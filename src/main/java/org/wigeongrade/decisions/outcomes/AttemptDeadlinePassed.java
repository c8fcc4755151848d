package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.clock.LeaseTime;

/**
 * Refuses to send because the deadline of the attempt has passed: its response would arrive too late for the caller.
 */
final class AttemptDeadlinePassed implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.ATTEMPT_DEADLINE_PASSED;
    }

    @Override
    public boolean refuses(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow) {
        return SendRule.hasPassed(deadlines.attemptDeadlineNanos(), nowNanos);
    }
}
