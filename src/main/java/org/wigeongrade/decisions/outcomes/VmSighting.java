package org.wigeongrade.decisions.outcomes;

/**
 * The latest sign of life of an endpoint's VM. Immutable; safe for use from any thread.
 *
 * @param incarnation the latest incarnation that is known
 * @param heardNanos when that incarnation last sent a heartbeat or a part of a response, on the leader's wait clock
 * @param ended whether that incarnation is known to have ended
 */
public record VmSighting(long incarnation, long heardNanos, boolean ended) {}
