package org.wigeongrade.decisions.outcomes;

/** Claim on the single send has passed its deadline: a resend may have claimed the call anew. */
final class ClaimDeadlinePassed implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.CLAIM_DEADLINE_PASSED;
    }

    @Override
    public boolean refuses(SendFacts facts, long nowNanos) {
        return facts.claimDeadlineNanos().isPresent()
                && SendRule.hasPassed(facts.claimDeadlineNanos().getAsLong(), nowNanos);
    }
}
