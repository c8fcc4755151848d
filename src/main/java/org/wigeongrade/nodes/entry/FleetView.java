package org.wigeongrade.nodes.entry;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Collection;
import java.util.Optional;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.Revision;
import org.wigeongrade.nodes.ConfigurationView;
import org.wigeongrade.nodes.thrift.EndpointRecord;

/**
 * What an entry VM routes by: the configuration in force, the endpoints that may serve and the view lease.
 *
 * <p>{@code leaseDeadlineNanos} is on this VM's monotonic clock, counted from the sending of the pull.
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
        long quarantineDigest,
        ImmutableMap<String, Long> quarantinedUntilEpochMs,
        long leaseDeadlineNanos) {
    /** The view of a process that has pulled none. */
    public static FleetView none(long nowNanos) {
        return new FleetView(
                0, ConfigurationView.EMPTY, 0, ImmutableList.of(), ImmutableMap.of(), 0, ImmutableMap.of(), nowNanos);
    }

    /** Returns whether new work may be sent on this view. */
    public boolean hasLease(long nowNanos) {
        return leaseDeadlineNanos - nowNanos > 0;
    }

    /** Returns the revision in force here. */
    public Revision revision() {
        return configuration.revision();
    }

    /** Returns every endpoint that may serve. */
    public Collection<EndpointView> all() {
        return endpoints.values();
    }

    /** Returns where the entry VM takes requests that alone may send to a cold endpoint, as {@code ip:port}. */
    public Optional<String> coldHolderAddress(EndpointId id) {
        return records.stream()
                .filter(record -> record.getId().equals(id.value()))
                .map(EndpointRecord::getColdHolderAddress)
                .filter(address -> address != null && !address.isEmpty())
                .findFirst();
    }

    /** Returns the endpoint, if it may serve. */
    public Optional<EndpointView> endpoint(EndpointId id) {
        return Optional.ofNullable(endpoints.get(id));
    }
}
