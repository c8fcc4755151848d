package org.wigeongrade.fleet.entry;

import org.wigeongrade.decisions.published.Route;

/** Timeouts after which a request fails over from a stalled endpoint to another one. Stateless. */
final class StallTimeouts {
    /** Minimum timeout for the first bytes, in milliseconds; several engine passes that prefill large prompts. */
    private static final double MIN_FIRST_BYTES_MS = 350;
    /** Multiple of the predicted time after which an endpoint counts as stalled. */
    private static final double PREDICTION_FACTOR = 2;
    /**
     * Maximum timeout for the first bytes, in milliseconds; callers abandon a stream after two seconds without bytes.
     */
    private static final double MAX_FIRST_BYTES_MS = 1_500;
    /**
     * Minimum timeout for the next event, in milliseconds; an engine pass with a full prefill chunk in each step takes
     * 300.
     */
    private static final double MIN_NEXT_EVENT_MS = 450;
    /** Multiple of the route's target pause between events after which a stream fails over. */
    private static final double NEXT_EVENT_FACTOR = 1.5;

    private StallTimeouts() {}

    /** Returns the timeout for the first bytes, in milliseconds. */
    static long firstBytesMs(double predictedMs) {
        return Math.round(Math.min(MAX_FIRST_BYTES_MS, Math.max(MIN_FIRST_BYTES_MS, PREDICTION_FACTOR * predictedMs)));
    }

    /** Returns the timeout for the next event, in milliseconds. */
    static long nextEventMs(Route route) {
        return Math.round(Math.max(MIN_NEXT_EVENT_MS, NEXT_EVENT_FACTOR * route.targetPauseMs()));
    }
}
