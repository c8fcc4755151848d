package org.wigeongrade.fleet.entry;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.RetryBudgetShare;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.published.WeightedTarget;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.platform.PlatformCallerCodec;

/** The parts of an entry node that has one route to plain endpoints, idempotent unless a test states another kind. */
final class EntryFixture {
    static final ServiceName SERVICE = ServiceName.of("app");
    static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");

    private EntryFixture() {}

    static PublishedConfiguration configuration() {
        return configuration(RouteKind.IDEMPOTENT);
    }

    static PublishedConfiguration configuration(RouteKind kind) {
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
                false);
        final PublishedService service = new PublishedService(SERVICE, 100, 0, Optional.empty());
        return new PublishedConfiguration(1, List.of(route), List.of(service), CallerLimits.DEFAULT, List.of());
    }

    static EntryServices services(SharedEventLoop loop, EndpointRegistry registry) {
        final PlatformCallerCodec codec = new PlatformCallerCodec();
        return new EntryServices(
                ZONE,
                loop,
                codec,
                registry,
                new EndpointConnectionPool(loop, codec, System::nanoTime),
                new BufferedBodies(1_000_000, 100_000),
                new Balancer(new SplittableRandom(1)),
                new RetryBudgetShare(0.2, 100, TimeUnit.SECONDS.toNanos(10)),
                new ColdStartLimits(1.5, 5, 0),
                new SplittableRandom(1),
                new EventLog(),
                new Metrics(),
                System::nanoTime,
                TimeUnit.SECONDS.toNanos(5));
    }
}
