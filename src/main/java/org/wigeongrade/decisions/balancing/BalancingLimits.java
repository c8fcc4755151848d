package org.wigeongrade.decisions.balancing;

/**
 * Bounds of one entry node's choices. Immutable; safe for use from any thread.
 *
 * @param coldSendsPerSecond requests that this node may send to one cold endpoint in a second
 * @param entryNodes nodes that choose by nearly the same view
 */
public record BalancingLimits(double coldSendsPerSecond, int entryNodes) {}
