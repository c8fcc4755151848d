package org.wigeongrade.nodes.entry;

import com.google.common.base.Strings;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.routing.EndpointKind;
import org.wigeongrade.decisions.routing.EndpointView;
import org.wigeongrade.decisions.routing.LoadReport;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.ConfigurationView;
import org.wigeongrade.nodes.thrift.EndpointRecord;
import org.wigeongrade.nodes.thrift.LoadRecord;
import org.wigeongrade.nodes.thrift.PullReply;

/** Creates the next view from a pull reply. Stateless; safe for use from any thread. */
final class FleetViews {
    private static final String ENGINE = "engine";

    private FleetViews() {}

    /**
     * Returns the view that results from a reply, or empty if the reply is older than the earlier view.
     *
     * @param sent when the pull was sent; every lease starts at that time
     * @param sentNanos the same time on the wait clock
     */
    static Optional<FleetView> next(FleetView earlier, PullReply reply, LeaseTime sent, long sentNanos) {
        if (reply.getTerm() < earlier.term()
                || reply.getRevision() < earlier.revision().value()) {
            return Optional.empty();
        }
        final ConfigurationView configuration = reply.isSetConfiguration()
                ? ConfigurationView.decode(reply.getConfiguration())
                : earlier.configuration();
        final ImmutableList<EndpointRecord> records =
                reply.isSetEndpoints() ? ImmutableList.copyOf(reply.getEndpoints()) : earlier.records();
        final ImmutableMap<String, Long> quarantined = reply.isSetQuarantined()
                ? ImmutableMap.copyOf(reply.getQuarantined())
                : earlier.quarantinedUntilEpochMs();
        return Optional.of(new FleetView(
                reply.getTerm(),
                configuration,
                reply.getEndpointsDigest(),
                records,
                endpoints(earlier, records, reply, configuration, sent, sentNanos),
                reply.isSetRelayAddresses() ? ImmutableList.copyOf(reply.getRelayAddresses()) : ImmutableList.of(),
                reply.getQuarantineDigest(),
                quarantined,
                sent.plusNanos(reply.getViewLeaseNanos())));
    }

    private static ImmutableMap<EndpointId, EndpointView> endpoints(
            FleetView earlier,
            ImmutableList<EndpointRecord> records,
            PullReply reply,
            ConfigurationView configuration,
            LeaseTime sent,
            long sentNanos) {
        final Map<String, LoadRecord> loads = new HashMap<>();
        reply.getLoads().forEach(load -> loads.put(load.getEndpoint(), load));
        final ImmutableMap.Builder<EndpointId, EndpointView> views = ImmutableMap.builder();
        if (!reply.isMembersKnown()) {
            earlier.allEndpoints().forEach(view -> views.put(view.id(), withConfiguration(view, configuration)));
        }
        for (final EndpointRecord record : records) {
            final long leaseNanos =
                    reply.getShorterServingLeaseNanos().getOrDefault(record.getId(), reply.getServingLeaseNanos());
            final EndpointView view = endpoint(
                    record, configuration, sent.plusNanos(leaseNanos), load(loads.get(record.getId()), sentNanos));
            views.put(view.id(), view);
        }
        return views.buildKeepingLast();
    }

    /**
     * Returns an endpoint known from an earlier leader, with its serving deadline, updated to whether the configuration
     * now allows new work for it.
     */
    private static EndpointView withConfiguration(EndpointView view, ConfigurationView configuration) {
        return new EndpointView(
                view.id(),
                view.incarnation(),
                view.target(),
                view.zone(),
                configuration.takesNewWork(view.zone()),
                view.leaving(),
                view.address(),
                view.capacity(),
                view.coldCapacity(),
                view.cold(),
                view.coldHolder(),
                view.servingDeadline(),
                view.load(),
                view.fencingToken());
    }

    private static EndpointView endpoint(
            EndpointRecord record, ConfigurationView configuration, LeaseTime servingDeadline, LoadReport load) {
        final AvailabilityZone zone = new AvailabilityZone(record.getAvailabilityZone());
        final EndpointKind kind = record.getKind().equals(ENGINE) ? EndpointKind.ENGINE : EndpointKind.SERVICE;
        return new EndpointView(
                new EndpointId(record.getId()),
                record.getIncarnation(),
                new RouteTarget(kind, record.getTarget()),
                zone,
                configuration.takesNewWork(zone),
                false,
                record.getAddress(),
                record.getCapacity(),
                record.getColdCapacity(),
                record.isCold(),
                Optional.ofNullable(Strings.emptyToNull(record.getColdHolder())).map(NodeName::new),
                servingDeadline,
                load,
                new FencingToken(record.getFencingTerm(), record.getFencingSequence()));
    }

    private static LoadReport load(LoadRecord record, long sentNanos) {
        if (record == null) {
            return LoadReport.NONE;
        }
        return new LoadReport(record.getRunning(), record.getWaiting(), sentNanos - record.getAgeNanos());
    }
}
