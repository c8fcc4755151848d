package org.wigeongrade.decisions.balancing;

import java.util.Optional;

/**
 * The endpoint chosen for a request, or the reason why it is refused. Immutable; safe for use from any thread.
 *
 * @param endpoint the chosen endpoint; empty if the request is refused
 * @param predictedMs predicted time to the first event or response
 * @param candidates number of endpoints that could take the request or, if it is refused, that it had not been sent to
 * before
 * @param refusal why no endpoint was chosen
 * @param retryAfterMs time after which the caller should retry if no endpoint was chosen; otherwise 0
 */
public record Placement(
        Optional<EndpointLoad> endpoint,
        double predictedMs,
        int candidates,
        Optional<Refusal> refusal,
        long retryAfterMs) {
    /** Why a request is refused. */
    public enum Refusal {
        /** No endpoint serves the request's target, or it has already been sent to all that do. */
        NONE_SERVES,
        /** Every endpoint that serves the request's target asked this node for a pause. */
        ALL_PAUSED,
        /** Every endpoint that serves the request's target is full, at its stated limit, or would respond too late. */
        ALL_BUSY
    }

    static Placement at(EndpointLoad endpoint, double predictedMs, int candidates) {
        return new Placement(Optional.of(endpoint), predictedMs, candidates, Optional.empty(), 0);
    }

    static Placement refused(Refusal refusal, int candidates, long retryAfterMs) {
        return new Placement(Optional.empty(), 0, candidates, Optional.of(refusal), retryAfterMs);
    }
}
