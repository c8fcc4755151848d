package org.wigeongrade.decisions.outcomes;

/** View lease of this entry VM has ended: it may not know what operators changed since. */
final class ViewLeaseEnded implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.VIEW_LEASE_ENDED;
    }

    @Override
    public boolean refuses(SendFacts facts, long nowNanos) {
        return SendRule.hasPassed(facts.viewLeaseDeadlineNanos(), nowNanos);
    }
}
