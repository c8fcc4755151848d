package org.wigeongrade.fleet.entry;

import org.wigeongrade.decisions.published.Route;

/** How long a request waits at an endpoint that stands still before it moves to another one. Stateless. */
final class Patience {
    /** Shortest wait, in milliseconds; longer than a pass that reads a large prompt. */
    private static final double SHORTEST_MS = 150;
    /** Times the predicted time after which an endpoint counts as standing still. */
    private static final double PREDICTED_FACTOR = 2.5;
    /** Part of the time to the first event that may pass before the request moves, so that it can still be on time. */
    private static final double LATENCY_PART = 0.5;
    /** Part of the longest pause that may pass before a stream moves. */
    private static final double PAUSE_PART = 0.8;

    private Patience() {}

    /** Returns the wait for the first bytes, in milliseconds. */
    static long firstMs(Route route, double predictedMs) {
        final double longestMs = Math.max(SHORTEST_MS, LATENCY_PART * route.targetLatencyMs());
        return Math.round(Math.min(longestMs, Math.max(SHORTEST_MS, PREDICTED_FACTOR * predictedMs)));
    }

    /** Returns the wait for the next event, in milliseconds. */
    static long pauseMs(Route route) {
        return Math.round(Math.max(SHORTEST_MS, PAUSE_PART * route.targetPauseMs()));
    }
}
