package org.wigeongrade.decisions.limits;

/**
 * The right to run one piece of work under a share; released once by {@link HeldShares#release}. {@code amount} is 1
 * for work in flight, and the number of requests or tokens taken for rates. Work must start before
 * {@code deadlineNanos}, the deadline of the share on this VM's monotonic clock: after it the slot may have been
 * granted to another entry VM. Immutable; safe for use from any thread.
 */
public record Slot(ShareKey key, long number, long amount, long deadlineNanos) {}
