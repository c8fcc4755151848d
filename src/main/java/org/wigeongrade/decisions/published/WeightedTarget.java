package org.wigeongrade.decisions.published;

import org.wigeongrade.ids.ServiceName;

/** A service that takes part of a route's requests, by weight. Immutable; safe for use from any thread. */
public record WeightedTarget(ServiceName service, double weight) {}
