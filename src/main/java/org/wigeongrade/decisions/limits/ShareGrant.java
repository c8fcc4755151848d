package org.wigeongrade.decisions.limits;

/**
 * The leader's answer to a {@link ShareReport}.
 *
 * <p>{@code leaseNanos} crosses between two clocks, so it is a span: the holder stores the deadline (the time at which
 * it sent the report plus this span). {@code coldSlots} is what the holder may use once the endpoint shows that it is
 * cold; 0 for all holders but the named one. {@code reportSequence} is that of the answered report. {@code epoch}
 * grows with each cold sign that the leader takes in. Immutable; safe for
 * use from any thread.
 */
public record ShareGrant(ShareKey key, long reportSequence, int slots, int coldSlots, long epoch, long leaseNanos) {
    /** Returns the deadline on the holder's clock, given when it sent the report. */
    public long deadlineNanos(long reportSentNanos) {
        return reportSentNanos + leaseNanos;
    }
}
