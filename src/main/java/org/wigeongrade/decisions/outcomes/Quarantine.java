package org.wigeongrade.decisions.outcomes;

/** A request digest that is refused fleet-wide until a deadline. Immutable; safe for use from any thread. */
public record Quarantine(String requestDigest, String reason, long sinceEpochMs, long untilEpochMs) {}
