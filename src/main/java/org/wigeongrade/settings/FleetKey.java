package org.wigeongrade.settings;

import java.util.Locale;

/**
 * Optional numeric keys of a fleet node's settings with their default and range. The defaults are the bounds that the
 * users' smaller deployments state. Immutable; safe for use from any thread.
 */
public enum FleetKey {
    LOSSES_BORNE(1, 0, 4, "control VMs whose disks may be lost at once"),
    HEARTBEAT_MS(1_200, 50, 60_000, "usual time between two heartbeats of an endpoint VM"),
    GRACE_S(8, 0.1, 3_600, "seconds from the signal to stop until the process is killed"),
    REVOKE_MS(5_000, 100, 3_600_000, "longest time that a key may be used after it was taken away"),
    CONFIG_APPLY_MS(2_000, 100, 3_600_000, "longest time until an accepted configuration is in force everywhere"),
    RETRY_RATIO(0.2, 0, 10, "requests sent once more, as a part of all requests"),
    RETRY_WINDOW_S(10, 0.1, 3_600, "seconds over which requests sent once more are counted"),
    RETRY_SLACK(130, 0, 1_000_000, "requests sent once more that are allowed beside the ratio"),
    STALL_MS(4_000, 10, 600_000, "time after which a head that lost a member refuses work"),
    COLD_BURST_FACTOR(1.5, 0.1, 100, "factor on the requests a second that a cold endpoint may get"),
    COLD_MARGIN(5, 0, 1_000_000, "requests a second beside that factor");

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

    /** Returns the key as it stands in the settings file. */
    public String key() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the value if the key is absent, in the unit that its name ends with. */
    public double defaultValue() {
        return defaultValue;
    }

    /** Returns the smallest value. */
    public double min() {
        return min;
    }

    /** Returns the largest value. */
    public double max() {
        return max;
    }

    /** Returns what the key bounds. */
    public String meaning() {
        return meaning;
    }
}
