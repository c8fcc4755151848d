package org.wigeongrade.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.Random;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.ServiceName;

/** Checks each candidate rule with an endpoint that it rejects and a similar one that it accepts. */
final class CandidateRulesTest {
    private static final NodeName SELF = NodeName.of("entry-1");
    private static final NodeName OTHER = NodeName.of("entry-2");
    private static final RouteTarget TARGET = RouteTarget.of(ModelVersionName.of("tone-v3"));
    private static final AvailabilityZone ZONE = AvailabilityZone.of("az-1");
    private static final long NOW = 1_000;

    /** An endpoint whose properties a test case can change one at a time. */
    private record Sample(
            String id,
            RouteTarget target,
            boolean zoneIn,
            boolean leaving,
            boolean cold,
            NodeName coldHolder,
            long deadline,
            int running) {
        EndpointView view() {
            return new EndpointView(
                    EndpointId.of(id),
                    1,
                    target,
                    ZONE,
                    zoneIn,
                    leaving,
                    "10.0.0.1:80",
                    4,
                    2,
                    cold,
                    Optional.ofNullable(coldHolder),
                    new LeaseTime(deadline),
                    new LoadReport(running, 0, 0),
                    FencingToken.NONE);
        }
    }

    private static final Sample ACCEPTED = new Sample("e1", TARGET, true, false, false, null, NOW + 1, 0);

    private record FixedSlots(boolean free, boolean reserved) implements SlotTable {
        @Override
        public boolean hasFreeSlot(EndpointId endpoint, long nowNanos) {
            return free;
        }

        @Override
        public int inFlight(EndpointId endpoint) {
            return 0;
        }

        @Override
        public boolean isReservedForSuspect(EndpointId endpoint) {
            return reserved;
        }
    }

    private static RouteContext context(ImmutableSet<EndpointId> excluded, SlotTable slots) {
        RouteRequest request = new RouteRequest(TARGET, ImmutableList.of(), 0, excluded, ZONE, SELF, false);
        return new RouteContext(request, slots, new PrefixIndex(10), NOW, new LeaseTime(NOW));
    }

    static Stream<Arguments> cases() {
        return Stream.of(
                rejected(
                        RouteReason.WRONG_TARGET,
                        s -> new Sample(
                                s.id, RouteTarget.of(ServiceName.of("tone-v3")), true, false, false, null, NOW + 1, 0)),
                rejected(RouteReason.LEAVING, s -> new Sample(s.id, TARGET, true, true, false, null, NOW + 1, 0)),
                rejected(RouteReason.ZONE_OUT, s -> new Sample(s.id, TARGET, false, false, false, null, NOW + 1, 0)),
                rejected(
                        RouteReason.SERVING_LEASE_ENDED,
                        s -> new Sample(s.id, TARGET, true, false, false, null, NOW, 0)),
                rejected(
                        RouteReason.COLD_NOT_HOLDER,
                        s -> new Sample(s.id, TARGET, true, false, true, OTHER, NOW + 1, 0)),
                rejected(
                        RouteReason.COLD_NOT_HOLDER,
                        s -> new Sample(s.id, TARGET, true, false, true, null, NOW + 1, 0)),
                rejected(RouteReason.COLD_FULL, s -> new Sample(s.id, TARGET, true, false, true, SELF, NOW + 1, 2)),
                accepted(s -> s),
                accepted(s -> new Sample(s.id, TARGET, true, false, true, SELF, NOW + 1, 1)),
                accepted(s -> new Sample(s.id, TARGET, true, false, false, OTHER, NOW + 1, 2)));
    }

    private static Arguments rejected(RouteReason reason, UnaryOperator<Sample> change) {
        return Arguments.of(Optional.of(reason), change.apply(ACCEPTED));
    }

    private static Arguments accepted(UnaryOperator<Sample> change) {
        return Arguments.of(Optional.empty(), change.apply(ACCEPTED));
    }

    @ParameterizedTest
    @MethodSource("cases")
    void ruleRejectsEndpoint(Optional<RouteReason> expected, Sample sample) {
        Router router = new Router(RoutingPolicy.POWER_OF_TWO);
        RouteContext context = context(ImmutableSet.of(), new FixedSlots(true, false));
        assertThat(router.rejection(sample.view(), context)).isEqualTo(expected);
    }

    static Stream<Arguments> contexts() {
        EndpointId tried = ACCEPTED.view().id();
        return Stream.of(
                Arguments.of(RouteReason.EXCLUDED, context(ImmutableSet.of(tried), new FixedSlots(true, false))),
                Arguments.of(RouteReason.NO_FREE_SLOT, context(ImmutableSet.of(), new FixedSlots(false, false))),
                Arguments.of(RouteReason.SUSPECT_RUNNING, context(ImmutableSet.of(), new FixedSlots(true, true))));
    }

    @ParameterizedTest
    @MethodSource("contexts")
    void ruleRejectsRequestContext(RouteReason expected, RouteContext context) {
        assertThat(new Router(RoutingPolicy.AFFINITY).rejection(ACCEPTED.view(), context))
                .isEqualTo(Optional.of(expected));
    }

    @Test
    void refusalDistinguishesLackOfCapacity() {
        Router router = new Router(RoutingPolicy.AFFINITY);
        ImmutableList<EndpointView> endpoints = ImmutableList.of(ACCEPTED.view());
        RouteContext full = context(ImmutableSet.of(), new FixedSlots(false, false));
        RouteDecision.Refused refused = (RouteDecision.Refused) router.choose(endpoints, full, new Random(1));
        assertThat(refused.kind()).isEqualTo(ErrorKind.NO_FREE_SLOT);
        assertThat(refused.rejections()).isEqualTo(ImmutableMap.of(RouteReason.NO_FREE_SLOT, 1));
        assertThat(refused.explanation()).contains("1 no_free_slot");
        RouteDecision none = router.choose(ImmutableList.of(), full, new Random(1));
        assertThat(((RouteDecision.Refused) none).kind()).isEqualTo(ErrorKind.NO_WHOLE_GROUP);
    }

    @ParameterizedTest
    @EnumSource(RoutingPolicy.class)
    void noPolicyChoosesWhatARuleRejects(RoutingPolicy policy) {
        Router router = new Router(policy);
        ImmutableList<EndpointView> endpoints = ImmutableList.of(
                new Sample("e1", TARGET, true, true, false, null, NOW + 1, 0).view(),
                new Sample("e2", TARGET, true, false, false, null, NOW + 1, 3).view(),
                new Sample("e3", TARGET, false, false, false, null, NOW + 1, 0).view(),
                new Sample("e4", TARGET, true, false, false, null, NOW + 1, 1).view());
        RouteContext context = context(ImmutableSet.of(), new FixedSlots(true, false));
        for (int seed = 0; seed < 50; seed++) {
            RouteDecision.Chosen chosen = (RouteDecision.Chosen) router.choose(endpoints, context, new Random(seed));
            assertThat(chosen.endpoint().id().value()).isAnyOf("e2", "e4");
            assertThat(chosen.explanation()).contains("1 leaving");
        }
    }
}
