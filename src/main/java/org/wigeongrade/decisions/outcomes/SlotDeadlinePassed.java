package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.clock.LeaseTime;

/**
 * Refuses to send because the slot has expired since it was acquired: the leader may have granted it to another entry
 * VM.
 */
final class SlotDeadlinePassed implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.SLOT_DEADLINE_PASSED;
    }

    @Override
    public boolean refuses(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow) {
        return SendRule.hasPassed(deadlines.slotDeadlineNanos(), nowNanos);
    }
}
