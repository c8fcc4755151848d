package org.wigeongrade.settings;

import java.util.Locale;

/**
 * Optional numeric keys of the settings file, with their default and range. Immutable; safe for use from any thread.
 */
public enum LimitKey {
    MAX_BODY_BYTES(1_048_576, 1_024, 67_108_864, "largest request body taken from a caller"),
    VIEW_LEASE_MS(2_000, 200, 60_000, "longest time that an entry VM sends work on one view"),
    PULL_INTERVAL_MS(500, 50, 30_000, "time between two pulls of the view"),
    ANNOUNCEMENT_LEASE_MS(3_000, 500, 60_000, "time after which an endpoint that stopped announcing is absent"),
    STOP_DEADLINE_MS(60_000, 0, 3_600_000, "longest time that a graceful stop waits for requests in flight"),
    REQUEST_TIMEOUT_MS(60_000, 100, 3_600_000, "longest time from a request's arrival to the end of its answer"),
    STALL_TIMEOUT_MS(10_000, 100, 600_000, "longest silence of an endpoint in an answer"),
    CONNECT_TIMEOUT_MS(1_000, 50, 60_000, "longest time for opening a connection"),
    BODY_READ_TIMEOUT_MS(10_000, 100, 600_000, "longest time that a caller may take to send a request"),
    WORKER_THREADS(8, 1, 64, "threads that serve requests");

    private final long defaultValue;
    private final long min;
    private final long max;
    private final String meaning;

    LimitKey(long defaultValue, long min, long max, String meaning) {
        this.defaultValue = defaultValue;
        this.min = min;
        this.max = max;
        this.meaning = meaning;
    }

    /** Returns the key as it is written in the settings file. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the value that applies if the key is absent, in the unit that its name ends with. */
    public long defaultValue() {
        return defaultValue;
    }

    /** Returns the smallest allowed value. */
    public long min() {
        return min;
    }

    /** Returns the largest allowed value. */
    public long max() {
        return max;
    }

    /** Returns what the key limits, as a phrase for the docs. */
    public String meaning() {
        return meaning;
    }
}
