package org.wigeongrade.nodes;

import java.util.concurrent.TimeUnit;
import org.wigeongrade.settings.NodeLimits;

/** Durations that all processes of a fleet use alike, in nanoseconds. Immutable; safe for use from any thread. */
public record NodeTimings(
        long viewLeaseNanos, long pullIntervalNanos, long announcementLeaseNanos, long orderTimeoutNanos) {
    private static final long ORDER_TIMEOUT_MS = 1_000;

    /** Returns the timings from the settings. */
    public static NodeTimings of(NodeLimits limits) {
        return new NodeTimings(
                TimeUnit.MILLISECONDS.toNanos(limits.viewLeaseMs()),
                TimeUnit.MILLISECONDS.toNanos(limits.pullIntervalMs()),
                TimeUnit.MILLISECONDS.toNanos(limits.announcementLeaseMs()),
                TimeUnit.MILLISECONDS.toNanos(ORDER_TIMEOUT_MS));
    }
}
