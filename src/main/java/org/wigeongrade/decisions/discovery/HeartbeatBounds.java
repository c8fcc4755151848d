package org.wigeongrade.decisions.discovery;

import java.util.concurrent.TimeUnit;

/**
 * The largest values that a heartbeat may state. A larger one would outlast all later heartbeats, or overflow what is
 * computed from it. Immutable; safe for use from any thread.
 */
enum HeartbeatBounds {
    /** Incarnations are start times in milliseconds; the bound is the end of the year 9999. */
    INCARNATION("incarnation", 253_402_300_799_999L),
    /** The largest integer that every JSON reader represents exactly. */
    SEQUENCE("sequence", (1L << 53) - 1),
    /** The largest integer that every JSON reader represents exactly. */
    EPOCH("epoch", (1L << 53) - 1),
    /** More requests than one VM runs at once in any deployment. */
    SLOTS("slots", 65_535),
    /** Longer than any VM takes to load its weights. */
    COLD_MS("remaining cold start in ms", TimeUnit.DAYS.toMillis(1)),
    SOFTWARE_VERSION_CHARS("length of the software version", 256),
    STAGED_MODELS("number of staged models", 1_000);

    private final String what;
    private final long max;

    HeartbeatBounds(String what, long max) {
        this.what = what;
        this.max = max;
    }

    /** Throws {@link IllegalArgumentException} that names the bounds if the value is negative or too large. */
    void check(long value) {
        if (value < 0 || value > max) {
            throw new IllegalArgumentException(what + " " + value + " is not from 0 to " + max);
        }
    }
}
