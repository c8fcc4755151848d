package org.wigeongrade.decisions.outcomes;

/** Slot at the endpoint has expired since it was taken: the leader may have given it to another entry VM. */
final class SlotDeadlinePassed implements SendRule {
    @Override
    public SendRefusal refusal() {
        return SendRefusal.SLOT_DEADLINE_PASSED;
    }

    @Override
    public boolean refuses(SendFacts facts, long nowNanos) {
        return SendRule.hasPassed(facts.slotDeadlineNanos(), nowNanos);
    }
}
