package org.wigeongrade.decisions.grouping;

/**
 * What the entry nodes have observed of one endpoint, combined. Immutable; safe for use from any thread.
 *
 * @param inFlight requests in flight at the endpoint, summed over all entry nodes
 * @param shortestStallMs time since the last byte from the endpoint; the minimum over the entry nodes that have
 * requests in flight there
 * @param lastProgressNanos time at which an entry node last reported bytes from the endpoint; {@link Long#MIN_VALUE} if
 * none did
 * @param refusedConnection whether the endpoint refused a connection of an entry node
 */
public record EndpointObservation(
        int inFlight, long shortestStallMs, long lastProgressNanos, boolean refusedConnection) {
    /** The value for an endpoint that no entry node has reported on. */
    public static final EndpointObservation NONE = new EndpointObservation(0, 0, Long.MIN_VALUE, false);

    /** Returns whether the endpoint sent bytes after the given time. */
    public boolean progressedSince(long sinceNanos) {
        return lastProgressNanos != Long.MIN_VALUE && lastProgressNanos - sinceNanos > 0;
    }

    /** Returns whether the endpoint sent bytes within the given duration before now. */
    public boolean progressedWithin(long nanos, long nowNanos) {
        return lastProgressNanos != Long.MIN_VALUE && nowNanos - lastProgressNanos <= nanos;
    }
}
