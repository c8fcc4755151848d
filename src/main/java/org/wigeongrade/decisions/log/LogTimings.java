package org.wigeongrade.decisions.log;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Time settings of the log, in nanoseconds.
 *
 * <p>Invariant: heartbeat &lt; lease &lt; shortest election timeout, so that the leases of two leaders never overlap.
 * Immutable.
 */
public record LogTimings(long heartbeatNanos, long electionMinNanos, long electionMaxNanos, long leaseNanos) {
    /** Heartbeat 100 ms, election timeout 600 to 1,200 ms, leader lease 500 ms. */
    public static final LogTimings DEFAULT = ofMs(100, 600, 1_200, 500);

    public LogTimings {
        if (heartbeatNanos <= 0 || heartbeatNanos >= leaseNanos) {
            throw new IllegalArgumentException("heartbeat must be positive and shorter than the leader lease");
        }
        if (leaseNanos >= electionMinNanos || electionMinNanos >= electionMaxNanos) {
            throw new IllegalArgumentException("leader lease must be shorter than the shortest election timeout");
        }
    }

    /** Returns the timings for durations in milliseconds. */
    public static LogTimings ofMs(long heartbeatMs, long electionMinMs, long electionMaxMs, long leaseMs) {
        return new LogTimings(nanos(heartbeatMs), nanos(electionMinMs), nanos(electionMaxMs), nanos(leaseMs));
    }

    long randomElectionTimeoutNanos(RandomGenerator random) {
        return random.nextLong(electionMinNanos, electionMaxNanos);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
