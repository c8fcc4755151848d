package org.wigeongrade.decisions.outcomes;

import java.util.OptionalLong;
import org.wigeongrade.clock.LeaseTime;

/**
 * The deadlines that must not have passed when a request is sent.
 *
 * <p>{@code slotDeadlineNanos} is the deadline of the {@link org.wigeongrade.decisions.limits.Slot} acquired at the
 * endpoint. {@code claimDeadlineNanos} is set for a call that may run at most once. Immutable; safe for use from any
 * thread.
 */
public record SendDeadlines(
        LeaseTime viewLeaseDeadline,
        LeaseTime servingDeadline,
        long slotDeadlineNanos,
        OptionalLong claimDeadlineNanos,
        long attemptDeadlineNanos) {}
