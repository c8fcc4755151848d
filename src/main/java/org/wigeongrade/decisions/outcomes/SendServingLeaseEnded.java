package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.clock.LeaseTime;

/**
 * Refuses to send because the endpoint's serving lease ended after it was chosen: a member of the group may be missing.
 */
final class SendServingLeaseEnded implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.SEND_SERVING_LEASE_ENDED;
    }

    @Override
    public boolean refuses(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow) {
        return deadlines.servingDeadline().hasPassed(leaseNow);
    }
}
