package org.wigeongrade.fleet.entry;

import org.wigeongrade.decisions.published.Route;

/** How long a request waits at an endpoint that stands still before it moves to another one. Stateless. */
final class Patience {
    /** Shortest wait for the first bytes, in milliseconds; several passes that read large prompts. */
    private static final double SHORTEST_FIRST_MS = 350;
    /** Times the predicted time after which an endpoint counts as standing still. */
    private static final double PREDICTED_FACTOR = 2;
    /** Longest wait for the first bytes, in milliseconds; callers give a stream up after two seconds without bytes. */
    private static final double LONGEST_FIRST_MS = 1_500;
    /** Shortest wait for the next event, in milliseconds; a pass that reads a full piece in each step takes 300. */
    private static final double SHORTEST_PAUSE_MS = 450;
    /** Times the longest pause that counts as on time after which a stream moves. */
    private static final double PAUSE_FACTOR = 1.5;

    private Patience() {}

    /** Returns the wait for the first bytes, in milliseconds. */
    static long firstMs(double predictedMs) {
        return Math.round(Math.min(LONGEST_FIRST_MS, Math.max(SHORTEST_FIRST_MS, PREDICTED_FACTOR * predictedMs)));
    }

    /** Returns the wait for the next event, in milliseconds. */
    static long pauseMs(Route route) {
        return Math.round(Math.max(SHORTEST_PAUSE_MS, PAUSE_FACTOR * route.targetPauseMs()));
    }
}
