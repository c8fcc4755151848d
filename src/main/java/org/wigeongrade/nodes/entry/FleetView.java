package org.wigeongrade.nodes.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.nodes.ConfigurationView;
import org.wigeongrade.nodes.thrift.EndpointRecord;

/**
 * The view by which an entry VM routes requests: the configuration in force, the endpoints that may serve and the view
 * lease.
 *
 * <p>{@code relayAddresses} are those of entry VMs that take requests which this one cannot send to an endpoint. {@code
 * leaseDeadline} is counted from the time at which the pull was sent.
 *
 * <p>Invariant: the revision and the term never decrease from one view to the next. Immutable; safe for use from any
 * thread.
 */
public record FleetView(
        long term,
        ConfigurationView configuration,
        long endpointsDigest,
        ImmutableList<EndpointRecord> records,
        ImmutableMap<EndpointId, EndpointView> endpoints,
        ImmutableList<String> relayAddresses,
        long quarantineDigest,
        ImmutableMap<String, Long> quarantinedUntilEpochMs,
        LeaseTime leaseDeadline) {
    /** Returns the view of a process that has not pulled one yet. */
    public static FleetView empty(LeaseTime now) {
        return new FleetView(
                0,
                ConfigurationView.EMPTY,
                0,
                ImmutableList.of(),
                ImmutableMap.of(),
                ImmutableList.of(),
                0,
                ImmutableMap.of(),
                now);
    }

    /** Returns whether the view lease is valid, so that new work may be sent according to this view. */
    public boolean hasLease(LeaseTime now) {
        return !leaseDeadline.hasPassed(now);
    }

    /** Returns the revision of the configuration in force. */
    public Revision revision() {
        return configuration.revision();
    }

    /** Returns every endpoint that may serve. */
    public Collection<EndpointView> allEndpoints() {
        return endpoints.values();
    }

    /**
     * Returns the address, as {@code ip:port}, at which callers' requests reach the only entry VM that may send to the
     * cold endpoint.
     */
    public Optional<String> coldHolderAddress(EndpointId id) {
        return records.stream()
                .filter(record -> record.getId().equals(id.value()))
                .map(EndpointRecord::getColdHolderAddress)
                .filter(address -> address != null && !address.isEmpty())
                .findFirst();
    }

    /** Returns the endpoint, or empty if it may not serve. */
    public Optional<EndpointView> endpoint(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }
}
