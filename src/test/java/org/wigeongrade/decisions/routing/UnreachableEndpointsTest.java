package org.wigeongrade.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.FencingToken;

final class UnreachableEndpointsTest {
    private static final long EXCLUSION_NANOS = 1_000;

    @ParameterizedTest(name = "{0} incarnation {1} at {2}: excluded {3}")
    @CsvSource({
        "guide/1, 7, 500, true",
        "guide/1, 7, 999, true",
        "guide/1, 7, 1000, false",
        "guide/1, 8, 500, false",
        "guide/2, 7, 500, false",
    })
    void excludesTheFailedIncarnationUntilTheDeadline(String id, long incarnation, long nowNanos, boolean excluded) {
        UnreachableEndpoints unreachable = new UnreachableEndpoints(EXCLUSION_NANOS);
        unreachable.recordConnectFailure(endpoint("guide/1", 7), 0);
        EndpointView endpoint = endpoint(id, incarnation);

        assertThat(unreachable.isUnreachable(endpoint, nowNanos)).isEqualTo(excluded);
        assertThat(unreachable.reachable(List.of(endpoint), nowNanos)).hasSize(excluded ? 0 : 1);
    }

    private static EndpointView endpoint(String id, long incarnation) {
        return new EndpointView(
                new EndpointId(id),
                incarnation,
                new RouteTarget(EndpointKind.ENGINE, "guide"),
                new AvailabilityZone("zone-a"),
                true,
                false,
                "127.0.0.1:1",
                8,
                2,
                false,
                Optional.empty(),
                new LeaseTime(10_000),
                new LoadReport(0, 0, 0),
                FencingToken.NONE);
    }
}
