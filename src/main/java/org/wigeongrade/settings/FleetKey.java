package org.wigeongrade.settings;

import java.util.Locale;

/**
 * Optional numeric keys of a fleet node's settings, with their default and range. The defaults are the limits that the
 * users state for their smaller deployments. Immutable; safe for use from any thread.
 */
public enum FleetKey {
    LOSSES_BORNE(1, 0, 4, "control VMs whose disks may be lost at once"),
    HEARTBEAT_MS(1_200, 50, 60_000, "usual time between two heartbeats of an endpoint VM"),
    GRACE_S(8, 0.1, 3_600, "seconds from the signal to stop until the process is killed"),
    REVOKE_MS(5_000, 100, 3_600_000, "longest time that an API key still works after it was revoked"),
    CONFIG_APPLY_MS(2_000, 100, 3_600_000, "longest time until an accepted configuration is in force everywhere"),
    RETRY_RATIO(0.2, 0, 10, "retries as a fraction of all requests"),
    RETRY_WINDOW_S(10, 0.1, 3_600, "seconds over which retries are counted"),
    RETRY_SLACK(130, 0, 1_000_000, "retries that are allowed in addition to the ratio"),
    STALL_MS(4_000, 10, 600_000, "time after which the head VM of a group that lost a member refuses work"),
    MAX_RESPONSE_BYTES(8_388_608, 65_536, 1_073_741_824, "largest body of a response that is not streamed"),
    MAX_HELD_BYTES(33_554_432, 1_048_576, 1_073_741_824, "largest sum of such bodies that an entry node holds at once"),
    MAX_DESCRIPTORS(
            1_000_000,
            64,
            1_000_000_000,
            "descriptors that the process may open; clients' connections take half of them"),
    MAX_PAUSE_S(600, 1, 86_400, "longest pause, in seconds, that an endpoint VM may ask an entry node for"),
    COLD_BURST_FACTOR(1.5, 0.1, 100, "factor on the request rate that a cold endpoint may get"),
    COLD_MARGIN(5, 0, 1_000_000, "requests per second that are allowed in addition to that factor");

    private final double defaultValue;
    private final double min;
    private final double max;
    private final String meaning;

    FleetKey(double defaultValue, double min, double max, String meaning) {
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
    public double defaultValue() {
        return defaultValue;
    }

    /** Returns the smallest allowed value. */
    public double min() {
        return min;
    }

    /** Returns the largest allowed value. */
    public double max() {
        return max;
    }

    /** Returns what the key sets, as a phrase for the docs. */
    public String meaning() {
        return meaning;
    }
}
