package org.wigeongrade.bench;

/**
 * Result of one run of {@link RoutingSimulation}; times are in milliseconds. Immutable; safe for use from any thread.
 */
public record RoutingResult(
        String policy,
        double loadFactor,
        long offered,
        long completed,
        long refusals,
        double prefixHitRate,
        double firstTokenP50Ms,
        double firstTokenP95Ms,
        double firstTokenP99Ms,
        double highestLoadOverMean) {}
