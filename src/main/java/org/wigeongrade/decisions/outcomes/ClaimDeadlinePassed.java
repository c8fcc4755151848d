package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.clock.LeaseTime;

/**
 * Refuses to send because the claim on the single send has passed its deadline: a repeated request may have claimed the
 * call again.
 */
final class ClaimDeadlinePassed implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.CLAIM_DEADLINE_PASSED;
    }

    @Override
    public boolean refuses(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow) {
        return deadlines.claimDeadlineNanos().isPresent()
                && SendRule.hasPassed(deadlines.claimDeadlineNanos().getAsLong(), nowNanos);
    }
}
