package org.wigeongrade.decisions.balancing;

import java.util.Optional;

/**
 * Where a request goes, or why it goes nowhere. Immutable; safe for use from any thread.
 *
 * @param endpoint the chosen endpoint
 * @param predictedMs predicted time to the first event or answer
 * @param candidates endpoints that could have taken the request
 * @param refusal why none was chosen
 * @param retryAfterMs when coming back may help, if none was chosen
 */
public record Placement(
        Optional<EndpointLoad> endpoint,
        double predictedMs,
        int candidates,
        Optional<Refusal> refusal,
        long retryAfterMs) {
    /** Why a request is sent nowhere. */
    public enum Refusal {
        /** No endpoint serves this. */
        NONE_SERVES,
        /** Every endpoint that serves this runs as many requests as it can. */
        ALL_BUSY
    }

    static Placement at(EndpointLoad endpoint, double predictedMs, int candidates) {
        return new Placement(Optional.of(endpoint), predictedMs, candidates, Optional.empty(), 0);
    }

    static Placement refused(Refusal refusal, int candidates, long retryAfterMs) {
        return new Placement(Optional.empty(), 0, candidates, Optional.of(refusal), retryAfterMs);
    }
}
