package org.wigeongrade.decisions.balancing;

/**
 * Limits for the placement decisions of one entry node. Immutable; safe for use from any thread.
 *
 * @param coldSendsPerSecond maximum requests per second that this node sends to one cold endpoint
 * @param entryNodes number of entry nodes, which all decide by nearly the same view of the fleet
 */
public record BalancingLimits(double coldSendsPerSecond, int entryNodes) {}
