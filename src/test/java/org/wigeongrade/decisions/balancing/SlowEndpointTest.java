package org.wigeongrade.decisions.balancing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Plays requests to four plain endpoints, the first of which was slow for a while, on a clock of its own. */
final class SlowEndpointTest {
    private static final int ENDPOINTS = 4;
    private static final long SEND_INTERVAL_MS = 15;
    private static final double RESPONSE_MS = 10;
    private static final BalancingLimits UNBOUNDED = new BalancingLimits(Double.MAX_VALUE, 2, 0);
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");

    private record Response(long atNanos, EndpointLoad endpoint, double tookMs, double predictedMs) {}

    private final Balancer balancer = new Balancer(new Random(1));
    private final List<EndpointLoad> endpoints =
            IntStream.range(0, ENDPOINTS).mapToObj(SlowEndpointTest::endpoint).toList();
    private final Queue<Response> pending = new PriorityQueue<>(Comparator.comparingLong(Response::atNanos));

    /** Each endpoint's share is a quarter of the requests; a slow one may get few, but not none once it is fast again. */
    @ParameterizedTest
    @CsvSource({"4, 100, 10, 0.10, 0.30", "4, 400, 10, 0.10, 0.30", "4, 400, 400, 0, 0.05", "40, 100, 100, 0, 0.05"})
    void endpointGetsItsShareAgainOnceItIsFast(
            int slowResponses, double slowMs, double laterMs, double minShare, double maxShare) {
        for (int response = 0; response < slowResponses; response++) {
            endpoints.get(0).recordSent(0);
            endpoints.get(0).recordLatency(slowMs, RESPONSE_MS);
            endpoints.get(0).recordEnded(0);
        }
        countSends(0, 10_000, laterMs);
        final int sends = countSends(10_000, 20_000, laterMs);

        assertThat(sends * SEND_INTERVAL_MS / 10_000.0).isAtLeast(minShare);
        assertThat(sends * SEND_INTERVAL_MS / 10_000.0).isAtMost(maxShare);
    }

    private int countSends(long fromMs, long toMs, double firstEndpointMs) {
        int sends = 0;
        for (long nowMs = fromMs; nowMs < toMs; nowMs += SEND_INTERVAL_MS) {
            final long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
            receive(nowNanos);
            final PlacementRequest request = new PlacementRequest(0, 500, 0, 8_000, ImmutableSet.of(), false, ZONE);
            final Placement placement = balancer.place(request, endpoints, Optional.empty(), UNBOUNDED, nowNanos);
            final EndpointLoad chosen = placement.endpoint().orElseThrow();
            final boolean first = chosen == endpoints.get(0);
            sends += first ? 1 : 0;
            chosen.recordSent(nowNanos);
            final double tookMs = first ? firstEndpointMs : RESPONSE_MS;
            pending.add(new Response(nowNanos + Math.round(tookMs * 1e6), chosen, tookMs, placement.predictedMs()));
        }
        return sends;
    }

    private void receive(long nowNanos) {
        while (!pending.isEmpty() && pending.peek().atNanos() <= nowNanos) {
            final Response response = pending.remove();
            response.endpoint().recordLatency(response.tookMs(), response.predictedMs());
            response.endpoint().recordSuccess();
            response.endpoint().recordEnded(response.atNanos());
        }
    }

    private static EndpointLoad endpoint(int number) {
        return new EndpointLoad(
                new VmIncarnation(VmName.of("vm-" + number), 1),
                ServiceName.of("plain"),
                "10.0.0.1:" + number,
                ZONE,
                Optional.empty(),
                8,
                1,
                new SendRestriction(),
                0,
                0);
    }
}
