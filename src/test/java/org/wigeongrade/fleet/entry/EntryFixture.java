package org.wigeongrade.fleet.entry;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeongrade.clock.LeaseClock;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.RetryBudgetShare;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.decisions.outcomes.PartQuarantine;
import org.wigeongrade.decisions.outcomes.QuarantinedRequest;
import org.wigeongrade.decisions.overload.RankedTargets;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.published.WeightedTarget;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.platform.PlatformCallerCodec;

/** The parts of an entry node that has one route to plain endpoints, idempotent unless a test states another kind. */
final class EntryFixture {
    static final ServiceName SERVICE = ServiceName.of("app");
    static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
    static final long CONFIG_APPLY_NANOS = TimeUnit.SECONDS.toNanos(2);
    static final LeaseClock LEASE_CLOCK = () -> new LeaseTime(System.nanoTime());

    /** Each view has another change number, so that its endpoints are applied. */
    private static final AtomicLong CHANGE_NUMBER = new AtomicLong();

    private EntryFixture() {}

    static PublishedConfiguration configuration() {
        return configuration(RouteKind.IDEMPOTENT);
    }

    static PublishedConfiguration configuration(RouteKind kind) {
        return configuration(kind, false);
    }

    static PublishedConfiguration configuration(RouteKind kind, boolean resumable) {
        final Route route = new Route(
                RouteName.of("read"),
                "host",
                "/",
                kind,
                5_000,
                100,
                0,
                1,
                List.of(new WeightedTarget(SERVICE, 1)),
                2,
                true,
                resumable);
        final PublishedService service = new PublishedService(SERVICE, 100, 0, Optional.empty(), Optional.empty());
        return new PublishedConfiguration(1, List.of(route), List.of(service), CallerLimits.DEFAULT, List.of());
    }

    /** Returns the leader's record of an endpoint of {@link #SERVICE} on the loopback interface. */
    static RoutableRecord endpoint(String vm, int port, int slots) {
        return new RoutableRecord()
                .setVm(vm)
                .setIncarnation(1)
                .setServiceName(SERVICE.value())
                .setAddress("127.0.0.1:" + port)
                .setAvailabilityZone(ZONE.value())
                .setModel("")
                .setSlots(slots)
                .setPaceFactor(1);
    }

    static EntryView view(
            PublishedConfiguration configuration, Map<String, Integer> inFlightElsewhere, RoutableRecord... endpoints) {
        return view(configuration, inFlightElsewhere, List.of(), endpoints);
    }

    static EntryView view(
            PublishedConfiguration configuration,
            Map<String, Integer> inFlightElsewhere,
            List<String> relayAddresses,
            RoutableRecord... endpoints) {
        return view(configuration, inFlightElsewhere, relayAddresses, System.nanoTime(), endpoints);
    }

    static EntryView view(
            PublishedConfiguration configuration,
            Map<String, Integer> inFlightElsewhere,
            List<String> relayAddresses,
            long pullSentNanos,
            RoutableRecord... endpoints) {
        return new EntryView(
                Optional.of(configuration),
                Set.of(),
                Arrays.stream(endpoints)
                        .collect(ImmutableMap.toImmutableMap(
                                endpoint -> VmName.of(endpoint.getVm()), endpoint -> endpoint)),
                inFlightElsewhere,
                Map.of(),
                List.of(),
                List.of(),
                Set.of(),
                1,
                relayAddresses,
                1,
                CHANGE_NUMBER.incrementAndGet(),
                new LeaseTime(pullSentNanos),
                pullSentNanos);
    }

    /** Returns a view with these quarantined requests and parts. */
    static EntryView view(List<QuarantinedRequest> requests, List<PartQuarantine> parts, RoutableRecord... endpoints) {
        final EntryView plain = view(configuration(), Map.of(), endpoints);
        return new EntryView(
                plain.configuration(),
                plain.zonesOut(),
                plain.endpoints(),
                plain.inFlightElsewhere(),
                plain.unreadTokensElsewhere(),
                requests,
                parts,
                plain.partsInQuestion(),
                plain.entryNodes(),
                plain.relayAddresses(),
                plain.term(),
                plain.changeNumber(),
                plain.pullSent(),
                plain.pullSentNanos());
    }

    static CallerRequest request(ImmutableSet<PromptPartId> sharedPromptParts) {
        return new CallerRequest(
                Optional.of("attempt"),
                "GET",
                "host",
                "/a",
                "/a",
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                0,
                sharedPromptParts,
                OptionalLong.empty(),
                new DefaultHttpHeaders(),
                Bytes.wrap(new byte[0]));
    }

    static EntryServices services(SharedEventLoop loop, EndpointRegistry registry) {
        return services(loop, registry, new BufferedBodies(1_000_000, 100_000));
    }

    static EntryServices services(SharedEventLoop loop, EndpointRegistry registry, BufferedBodies bufferedBodies) {
        final PlatformCallerCodec codec = new PlatformCallerCodec();
        final EventLog events = new EventLog();
        final Metrics metrics = new Metrics();
        final EndpointConnectionPool connectionPool =
                new EndpointConnectionPool(loop, codec, Optional.empty(), events, metrics, System::nanoTime);
        return new EntryServices(
                ZONE,
                loop,
                codec,
                registry,
                connectionPool,
                new EndpointLinks(loop, connectionPool, registry, events, metrics, System::nanoTime),
                new RelayPeers(new SplittableRandom(1)),
                bufferedBodies,
                new Balancer(new SplittableRandom(1)),
                new RankedTargets(new SplittableRandom(1)),
                new RetryBudgetShare(0.2, 100, TimeUnit.SECONDS.toNanos(10)),
                new ColdStartLimits(1.5, 5, 0),
                new SplittableRandom(1),
                events,
                metrics,
                System::nanoTime,
                LEASE_CLOCK,
                TimeUnit.SECONDS.toNanos(5),
                CONFIG_APPLY_NANOS);
    }
}
