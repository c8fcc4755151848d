package org.wigeongrade.decisions.published;

import org.wigeongrade.ids.ServiceName;

/**
 * A service that receives a share of a route's requests in proportion to its weight. Immutable; safe for use from any
 * thread.
 */
public record WeightedTarget(ServiceName service, double weight) {}
