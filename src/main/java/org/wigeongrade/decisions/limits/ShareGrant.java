package org.wigeongrade.decisions.limits;

/**
 * The leader's reply to a {@link ShareReport}.
 *
 * <p>{@code leaseNanos} is a duration, since the two VMs have different clocks: the deadline that the holder stores is
 * the time at which it sent the report plus this duration. {@code coldSlots} is what the holder may use once the
 * endpoint turns out to be cold; it is 0 for every holder except the cold holder. {@code reportSequence} is the
 * sequence number of the report that this grant answers. {@code epoch} increases with each cold sign that the leader
 * records. Immutable; safe for use from any thread.
 */
public record ShareGrant(ShareKey key, long reportSequence, int slots, int coldSlots, long epoch, long leaseNanos) {
    /** Returns the deadline on the holder's clock, given the time at which it sent the report. */
    public long deadlineNanos(long reportSentNanos) {
        return reportSentNanos + leaseNanos;
    }
}
