package org.wigeongrade.decisions.outcomes;

/**
 * The latest heartbeat of an endpoint's VM. Immutable; safe for use from any thread.
 *
 * @param incarnation the latest incarnation that is known
 * @param heardNanos when that incarnation last sent a heartbeat, on the leader's wait clock
 * @param ended whether that incarnation is known to have ended
 */
public record VmSighting(long incarnation, long heardNanos, boolean ended) {}
