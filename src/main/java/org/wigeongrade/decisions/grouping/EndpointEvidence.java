package org.wigeongrade.decisions.grouping;

/**
 * What the entry VMs together saw of one endpoint. Immutable; safe for use from any thread.
 *
 * @param inFlight requests at the endpoint, over all entry VMs
 * @param stalledMs shortest time without a byte among the entry VMs that have requests there
 * @param progressedNanos when an entry VM last reported bytes from the endpoint; {@link Long#MIN_VALUE} if none did
 * @param refusedConnection whether the endpoint refused a connection of an entry VM
 */
public record EndpointEvidence(int inFlight, long stalledMs, long progressedNanos, boolean refusedConnection) {
    /** No entry VM has reported anything. */
    public static final EndpointEvidence NONE = new EndpointEvidence(0, 0, Long.MIN_VALUE, false);

    /** Returns whether bytes came from the endpoint after a time. */
    public boolean progressedSince(long sinceNanos) {
        return progressedNanos != Long.MIN_VALUE && progressedNanos - sinceNanos > 0;
    }

    /** Returns whether bytes came from the endpoint within the time before now. */
    public boolean progressedWithin(long nanos, long nowNanos) {
        return progressedNanos != Long.MIN_VALUE && nowNanos - progressedNanos <= nanos;
    }
}
