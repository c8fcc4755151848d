package org.wigeongrade.decisions.outcomes;

/** Serving lease of the endpoint ended after it was chosen: a member of the group may be missing. */
final class SendServingLeaseEnded implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.SEND_SERVING_LEASE_ENDED;
    }

    @Override
    public boolean refuses(SendFacts facts, long nowNanos) {
        return SendRule.hasPassed(facts.servingDeadlineNanos(), nowNanos);
    }
}
