package org.wigeongrade.decisions.limits;

/**
 * Right to one piece of work under a share; given back once by {@link ShareHolder#release}. {@code amount} is 1 for work
 * in flight, and the requests or tokens taken for rates. Work must begin before {@code deadlineNanos}, which is that of
 * the share on this VM's monotonic clock: after it the slot may have been given to another entry VM. Immutable; safe for
 * use from any thread.
 */
public record Slot(ShareKey key, long number, long amount, long deadlineNanos) {}
