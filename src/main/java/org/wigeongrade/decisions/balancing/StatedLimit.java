package org.wigeongrade.decisions.balancing;

import java.util.OptionalDouble;

/**
 * What an endpoint last stated of the requests that it takes. Immutable; safe for use from any thread.
 *
 * @param requestsPerSecond requests a second from all entry nodes together; empty if any number
 * @param statedNanos when the response that stated it arrived, on the monotonic clock of the process that holds this
 */
public record StatedLimit(OptionalDouble requestsPerSecond, long statedNanos) {
    /** Returns whether this was stated later than the other one. */
    public boolean isNewerThan(StatedLimit other) {
        return statedNanos - other.statedNanos > 0;
    }
}
