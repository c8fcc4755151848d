package org.wigeongrade.decisions.limits;

/**
 * Right to one piece of work under a share; given back once by {@link ShareHolder#release}. {@code amount} is 1 for work
 * in flight, and the requests or tokens taken for rates. Immutable; safe for use from any thread.
 */
public record Slot(ShareKey key, long number, long amount) {}
