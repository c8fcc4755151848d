package org.wigeongrade.bench;

import java.util.List;

/**
 * What a load run sends: when, where and how much.
 *
 * <p>{@code targets} are {@code ip:port}; {@code keys} are the bearer keys of the organisations, used in turn. A run
 * ends after {@code durationMs} or {@code maxRequests}, whichever comes first. Immutable; safe for use from any thread.
 */
public record LoadPlan(
        List<String> targets,
        Workload workload,
        String model,
        List<String> keys,
        double requestsPerSecond,
        long durationMs,
        long maxRequests,
        int maxInFlight,
        int maxTokens,
        int promptChars,
        int sharedPrefixes,
        long timeoutMs,
        long seed) {
    public LoadPlan {
        targets = List.copyOf(targets);
        keys = List.copyOf(keys);
    }

    /** Returns the same plan with other targets. */
    LoadPlan withTargets(List<String> newTargets) {
        return copy(newTargets, keys, durationMs);
    }

    /** Returns the same plan without keys, for reports. */
    LoadPlan withoutKeys() {
        return copy(targets, List.of(), durationMs);
    }

    /** Returns the same plan with another duration in milliseconds. */
    LoadPlan withDuration(long newDurationMs) {
        return copy(targets, keys, newDurationMs);
    }

    private LoadPlan copy(List<String> newTargets, List<String> newKeys, long newDurationMs) {
        return new LoadPlan(
                newTargets,
                workload,
                model,
                newKeys,
                requestsPerSecond,
                newDurationMs,
                maxRequests,
                maxInFlight,
                maxTokens,
                promptChars,
                sharedPrefixes,
                timeoutMs,
                seed);
    }

    /** Returns the number of requests that the run sends. */
    long requestCount() {
        return Math.min(maxRequests, (long) (requestsPerSecond * durationMs / 1_000));
    }
}
