package org.wigeongrade.bench;

/**
 * Result of one run of {@link OverloadSimulation}. {@code goodputOfCapacity} is the number of requests answered before
 * the deadline of their caller, as a ratio of what the endpoints can serve in that time. {@code attemptsPerRequest} is
 * the mean number of sends per request. {@code workWasted} is the number of attempts that an endpoint ran without
 * benefit to the caller. Immutable; safe for use from any thread.
 */
public record OverloadResult(
        String mechanism,
        double loadFactor,
        long offered,
        long answeredInTime,
        double goodputOfCapacity,
        double attemptsPerRequest,
        long workWasted) {}
