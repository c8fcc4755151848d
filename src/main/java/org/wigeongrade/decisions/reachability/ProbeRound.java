package org.wigeongrade.decisions.reachability;

import com.google.common.collect.ImmutableList;

/**
 * Endpoints to which a node tries to open connections at the same time. Immutable; safe for use from any thread if its
 * targets are.
 *
 * @param number grows with each round of the node
 */
public record ProbeRound<E>(long number, ImmutableList<E> targets) {}
