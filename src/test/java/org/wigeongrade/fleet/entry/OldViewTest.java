package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Iterables;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.CallerLimits;
import org.wigeongrade.decisions.published.PublishedConfiguration;
import org.wigeongrade.decisions.published.PublishedOrganisation;
import org.wigeongrade.decisions.published.PublishedService;
import org.wigeongrade.decisions.published.Route;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.published.WeightedTarget;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.OrganisationName;
import org.wigeongrade.ids.RouteName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests what an entry node responds while its view may lack a configuration that is in force. */
final class OldViewTest {
    private static final long TIMEOUT_S = 10;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
    private final RecordingWriter writer = new RecordingWriter();
    private final CountDownLatch ended = new CountDownLatch(1);

    @AfterEach
    void close() {
        loop.close();
    }

    /** Guards against 404 and 401 for a route or key that was added while this node did not reach the leader. */
    @ParameterizedTest
    @CsvSource({
        // age of the view as a fraction of the time to apply changes, path prefix of the only route, response
        "0.1, /b/, 404",
        "0.9, /b/, 404",
        "1.0, /b/, 503",
        "3.0, /b/, 503",
        "0.1, /, 401",
        "0.9, /, 401",
        "1.0, /, 503",
        "2.0, /, 503",
    })
    void absenceIsStatedOnlyByACurrentView(double age, String pathPrefix, int status) throws Exception {
        final long pullSentNanos = System.nanoTime() - Math.round(age * EntryFixture.CONFIG_APPLY_NANOS);
        registry.apply(
                EntryFixture.view(configuration(pathPrefix), Map.of(), List.of(), pullSentNanos), System.nanoTime());

        assertThat(responseTo(Optional.empty())).contains("status=" + status + ",");
    }

    /**
     * Guards against a relayed request that is refused, or sent to an old service, by a node that does not know the
     * configuration by which it was routed.
     */
    @ParameterizedTest
    @CsvSource({
        // path prefix of the only route, version of the relaying node, service that it chose, response
        "/b/, 1, app, 404",
        "/b/, 2, app, not taken",
        "/, 1, app, 401",
        "/, 2, app, not taken",
        "/anonymous, 1, other, 503",
        "/anonymous, 2, other, not taken",
        "/anonymous, 2, app, 503",
    })
    void relayedRequestIsNotTakenByAnOlderView(String pathPrefix, long version, String service, String response)
            throws Exception {
        registry.apply(EntryFixture.view(configuration(pathPrefix), Map.of()), System.nanoTime());

        final String written = responseTo(
                Optional.of(new RelayOrigin(0, OptionalInt.empty(), version, Optional.of(ServiceName.of(service)))));
        assertThat(written.contains(RelayHeaders.notTaken())).isEqualTo(response.equals("not taken"));
        assertThat(written).contains("status=" + (response.equals("not taken") ? "503" : response) + ",");
    }

    private String responseTo(Optional<RelayOrigin> origin) throws Exception {
        final EntryServices services = loop.eventLoop()
                .submit(() -> EntryFixture.services(loop, registry))
                .get();
        loop.eventLoop()
                .submit(() -> new Exchange(
                                services, EntryFixture.request(ImmutableSet.of()), origin, writer, ended::countDown)
                        .start())
                .get();
        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        return Iterables.getOnlyElement(writer.written());
    }

    private static PublishedConfiguration configuration(String pathPrefix) {
        final boolean anonymous = pathPrefix.equals("/anonymous");
        final Route route = new Route(
                RouteName.of("read"),
                "host",
                anonymous ? "/" : pathPrefix,
                RouteKind.IDEMPOTENT,
                5_000,
                100,
                0,
                1,
                List.of(new WeightedTarget(EntryFixture.SERVICE, 1)),
                2,
                anonymous,
                false);
        return new PublishedConfiguration(
                1,
                List.of(route),
                List.of(new PublishedService(EntryFixture.SERVICE, 100, 0, Optional.empty(), Optional.empty())),
                CallerLimits.DEFAULT,
                List.of(new PublishedOrganisation(OrganisationName.of("shop"), ImmutableSet.of("key-1"), 1)));
    }
}
