package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.clock.LeaseTime;

/**
 * Refuses to send because the view lease of this entry VM has ended: operators may have made changes since that it does
 * not know of.
 */
final class ViewLeaseEnded implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.VIEW_LEASE_ENDED;
    }

    @Override
    public boolean refuses(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow) {
        return deadlines.viewLeaseDeadline().hasPassed(leaseNow);
    }
}
