package org.wigeongrade.bench;

/**
 * Figures of one run of {@link OverloadSimulation}. {@code goodputOfCapacity} is the work answered before its caller's
 * deadline, as part of what the endpoints can bear; {@code attemptsPerRequest} are sends. Immutable; safe for use from
 * any thread.
 */
public record OverloadResult(
        String mechanism,
        double loadFactor,
        long offered,
        long answeredInTime,
        double goodputOfCapacity,
        double attemptsPerRequest,
        long workWasted) {}
