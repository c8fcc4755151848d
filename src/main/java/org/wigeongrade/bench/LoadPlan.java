package org.wigeongrade.bench;

import java.util.List;

/**
 * What a load run sends: when, where to and how much.
 *
 * <p>{@code targets} are {@code ip:port}; {@code keys} are the organisations' bearer keys, used in turn. A run ends after
 * {@code durationMs} or {@code maxRequests}, whichever is first. Immutable; safe for use from any thread.
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

    /** Returns the same plan against other targets. */
    LoadPlan against(List<String> otherTargets) {
        return copy(otherTargets, keys, durationMs);
    }

    /** Returns the same plan without keys, for reports. */
    LoadPlan withoutKeys() {
        return copy(targets, List.of(), durationMs);
    }

    /** Returns the same plan with another length in milliseconds. */
    LoadPlan lasting(long otherDurationMs) {
        return copy(targets, keys, otherDurationMs);
    }

    private LoadPlan copy(List<String> otherTargets, List<String> otherKeys, long otherDurationMs) {
        return new LoadPlan(
                otherTargets,
                workload,
                model,
                otherKeys,
                requestsPerSecond,
                otherDurationMs,
                maxRequests,
                maxInFlight,
                maxTokens,
                promptChars,
                sharedPrefixes,
                timeoutMs,
                seed);
    }

    /** Returns the number of requests that the run sends. */
    long requests() {
        return Math.min(maxRequests, (long) (requestsPerSecond * durationMs / 1_000));
    }
}
