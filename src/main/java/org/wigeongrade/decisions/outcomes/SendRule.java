package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableList;
import org.wigeongrade.clock.LeaseTime;

/** A reason not to send a request that is about to be sent. Implementations are stateless. */
interface SendRule {
    /** All rules in evaluation order. */
    ImmutableList<SendRule> ALL = ImmutableList.of(
            new ViewLeaseEnded(),
            new SendServingLeaseEnded(),
            new SlotDeadlinePassed(),
            new ClaimDeadlinePassed(),
            new AttemptDeadlinePassed());

    SendRefusal refusal();

    /** Returns whether the request must not be sent. */
    boolean refuses(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow);

    /** Returns whether a deadline has passed; a deadline equal to {@code nowNanos} counts as passed. */
    static boolean hasPassed(long deadlineNanos, long nowNanos) {
        return nowNanos - deadlineNanos >= 0;
    }
}
