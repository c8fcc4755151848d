package org.wigeongrade.decisions.outcomes;

import java.util.OptionalLong;

/**
 * The deadlines that must not have passed when a request is sent, on this VM's monotonic clock in nanoseconds.
 *
 * <p>{@code slotDeadlineNanos} is the deadline of the {@link org.wigeongrade.decisions.limits.Slot} acquired at the
 * endpoint. {@code claimDeadlineNanos} is set for a call that may run at most once. Immutable; safe for use from any
 * thread.
 */
public record SendDeadlines(
        long viewLeaseDeadlineNanos,
        long servingDeadlineNanos,
        long slotDeadlineNanos,
        OptionalLong claimDeadlineNanos,
        long attemptDeadlineNanos) {}
