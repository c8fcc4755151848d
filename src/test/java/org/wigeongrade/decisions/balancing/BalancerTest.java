package org.wigeongrade.decisions.balancing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class BalancerTest {
    private static final GroupedModel MODEL = new GroupedModel(ModelVersionName.of("m"), 4, 1, 1, 16_000, 1_600);
    private static final EngineProfile PROFILE =
            new EngineProfile(18, 5, ImmutableList.of(MODEL), 6.07, 0.35, 0.007, 46_000, 0.7, 2_048, 4, 6, 300, 2.5);
    private static final AvailabilityZone HERE = AvailabilityZone.of("here");
    private static final AvailabilityZone THERE = AvailabilityZone.of("there");
    private static final BalancingLimits UNBOUNDED = new BalancingLimits(Double.MAX_VALUE, 7, 0);

    private final Balancer balancer = new Balancer(new Random(1));
    private final Optional<EngineLatencyModel> engine =
            Optional.of(new EngineLatencyModel(PROFILE, MODEL, new LearnedOverhead()));

    @Test
    void leastLoadedGroupIsChosen() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE), group("c", HERE));
        send(groups.get(0), 12);
        send(groups.get(1), 3);
        send(groups.get(2), 9);

        assertThat(place(groups, Set.of(), 0).endpoint().orElseThrow()).isEqualTo(groups.get(1));
    }

    @Test
    void countsRequestsOfOtherEntryNodes() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.get(0).setLoadFromOtherNodes(10, 0);
        send(groups.get(1), 2);

        assertThat(place(groups, Set.of(), 0).endpoint().orElseThrow()).isEqualTo(groups.get(1));
    }

    @Test
    void stalledGroupGetsNoRequestsWhileAnotherServes() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        send(groups.get(0), 1);
        send(groups.get(1), 12);
        final long laterNanos = TimeUnit.MILLISECONDS.toNanos(300);
        groups.get(1).recordProgress(laterNanos);

        assertThat(place(groups, Set.of(), laterNanos).endpoint().orElseThrow()).isEqualTo(groups.get(1));
    }

    @ParameterizedTest
    @CsvSource({"60, a", "180, b"})
    void silenceOfRunningStreamsAddsCostBeforeGroupIsStalled(int silentMs, String chosen) {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        send(groups.get(0), 1);
        groups.get(0).recordStreamStarted();
        send(groups.get(1), 3);
        final long laterNanos = TimeUnit.MILLISECONDS.toNanos(silentMs);
        groups.get(1).recordProgress(laterNanos);

        assertThat(place(groups, Set.of(), laterNanos)
                        .endpoint()
                        .orElseThrow()
                        .vm()
                        .vm())
                .isEqualTo(VmName.of(chosen));
    }

    @Test
    void suspectGroupIsUsedOnlyIfThereIsNoOther() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.get(0).setSuspect(true);
        send(groups.get(1), 12);

        assertThat(place(groups, Set.of(), 0).endpoint()).hasValue(groups.get(1));
        assertThat(place(groups.subList(0, 1), Set.of(), 0).endpoint()).hasValue(groups.get(0));
    }

    @ParameterizedTest
    @CsvSource({"8000, 1000, 2000", "6000, 1000, 2000", "1500, 250, 500"})
    void retryAfterIsSpreadOverUpperPartOfAllowedTime(long remainingMs, long fromMs, long toMs) {
        final List<EndpointLoad> groups = List.of(group("a", HERE));
        send(groups.get(0), 40);
        final PlacementRequest request = new PlacementRequest(1_000, 500, 300, remainingMs, Set.of(), false, HERE);
        final LongSummaryStatistics times = IntStream.range(0, 200)
                .mapToLong(caller ->
                        balancer.place(request, groups, engine, UNBOUNDED, 0).retryAfterMs())
                .summaryStatistics();

        assertThat(times.getMin()).isAtLeast(fromMs);
        assertThat(times.getMax()).isAtMost(toMs);
        assertThat(times.getMax() - times.getMin()).isAtLeast((toMs - fromMs) * 3 / 4);
    }

    @Test
    void groupThatFailedIsAvoidedForAWhile() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.get(0).recordFailure(0);
        send(groups.get(1), 12);

        assertThat(place(groups, Set.of(), 1).endpoint().orElseThrow()).isEqualTo(groups.get(1));
    }

    @Test
    void slowGroupIsAvoided() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        for (int i = 0; i < 40; i++) {
            groups.get(0).recordLatency(500, 100);
        }
        send(groups.get(1), 6);

        assertThat(place(groups, Set.of(), 0).endpoint().orElseThrow()).isEqualTo(groups.get(1));
    }

    @ParameterizedTest
    @CsvSource({"17, true", "19, true", "20, false"})
    void burstIsRefusedOnceEveryGroupIsFull(int running, boolean accepted) {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", THERE));
        groups.forEach(group -> send(group, running));
        final Placement placement = place(groups, Set.of(), 0);

        assertThat(placement.endpoint().isPresent()).isEqualTo(accepted);
        assertThat(placement.refusal())
                .isEqualTo(accepted ? Optional.empty() : Optional.of(Placement.Refusal.ALL_BUSY));
        assertThat(placement.retryAfterMs() > 0).isEqualTo(!accepted);
    }

    @Test
    void longPromptsAreRefusedOncePrefillWouldBeLate() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.forEach(group -> {
            send(group, 4);
            group.recordPromptSent(40_000);
        });

        assertThat(place(groups, Set.of(), 0).refusal()).hasValue(Placement.Refusal.ALL_BUSY);
        groups.get(1).recordPromptDone(39_000);
        assertThat(place(groups, Set.of(), 0).endpoint()).hasValue(groups.get(1));
    }

    @Test
    void startedStreamIsPlacedEvenIfItWouldBeLate() {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.forEach(group -> group.recordPromptSent(40_000));

        assertThat(place(groups, Set.of(), 0).endpoint()).isEmpty();
        assertThat(place(groups, Set.of(VmName.of("a")), 0).endpoint()).hasValue(groups.get(1));
    }

    @Test
    void groupAcrossFabricDomainsIsUsedOnlyUnderLoad() {
        final EndpointLoad crossDomain = crossDomainGroup("far");
        final EndpointLoad singleDomain = group("near", HERE);

        assertThat(place(List.of(crossDomain, singleDomain), Set.of(), 0).endpoint())
                .hasValue(singleDomain);
        send(singleDomain, 20);
        assertThat(place(List.of(crossDomain, singleDomain), Set.of(), 0).endpoint())
                .hasValue(crossDomain);
    }

    @ParameterizedTest
    @CsvSource({"7, 1", "72, 5"})
    void manyNodesWithTheSameViewDoNotAllChooseTheSameGroup(int entryNodes, int chosenAtLeast) {
        final List<EndpointLoad> groups = IntStream.range(0, 20)
                .mapToObj(index -> group("g" + index, HERE))
                .toList();
        groups.stream().skip(1).forEach(group -> send(group, 2));
        final Set<VmName> chosen = new HashSet<>();
        for (int node = 0; node < entryNodes; node++) {
            final Placement placement = new Balancer(new Random(node))
                    .place(request(Set.of()), groups, engine, new BalancingLimits(Double.MAX_VALUE, entryNodes, 0), 0);
            chosen.add(placement.endpoint().orElseThrow().vm().vm());
        }

        assertThat(chosen.size()).isAtLeast(chosenAtLeast);
    }

    @Test
    void triedGroupIsNotRetried() {
        final List<EndpointLoad> groups = List.of(group("a", HERE));

        assertThat(place(groups, Set.of(VmName.of("a")), 0).refusal()).hasValue(Placement.Refusal.NONE_SERVES);
    }

    @Test
    void coldGroupGetsNoMoreThanShareOfNode() {
        final List<EndpointLoad> groups = List.of(group("a", HERE));
        groups.get(0).setColdUntil(TimeUnit.SECONDS.toNanos(5));
        int accepted = 0;
        for (int i = 0; i < 20; i++) {
            final Placement placement =
                    balancer.place(request(Set.of()), groups, engine, new BalancingLimits(4.5, 7, 0), 1);
            accepted += placement.endpoint().isPresent() ? 1 : 0;
            placement.endpoint().ifPresent(endpoint -> send(endpoint, 1));
        }

        assertThat(accepted).isEqualTo(4);
    }

    @ParameterizedTest
    @CsvSource({
        // pause of a, of b, time, and the chosen endpoint, or - if the request is refused
        "1000, 0, 500, b",
        "1000, 1000, 999, -",
        "1000, 3000, 1000, a",
    })
    void pausedEndpointGetsNothingUntilItsPauseEnds(long pauseAMs, long pauseBMs, long nowMs, String chosen) {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.get(0).restriction().pauseUntil(TimeUnit.MILLISECONDS.toNanos(pauseAMs));
        groups.get(1).restriction().pauseUntil(TimeUnit.MILLISECONDS.toNanos(pauseBMs));
        send(groups.get(1), 12);

        assertThat(place(groups, Set.of(), TimeUnit.MILLISECONDS.toNanos(nowMs))
                        .endpoint()
                        .map(endpoint -> endpoint.vm().vm().value())
                        .orElse("-"))
                .isEqualTo(chosen);
    }

    @ParameterizedTest
    @CsvSource({"900, 901, 901", "60000, 1000, 2000"})
    void refusalNamesEndOfFirstPauseIfTheCallerWaitsForIt(long pauseMs, long fromMs, long toMs) {
        final List<EndpointLoad> groups = List.of(group("a", HERE), group("b", HERE));
        groups.get(0).restriction().pauseUntil(TimeUnit.MILLISECONDS.toNanos(pauseMs));
        groups.get(1).restriction().pauseUntil(TimeUnit.MILLISECONDS.toNanos(pauseMs + 70_000));
        final Placement placement = place(groups, Set.of(), 0);

        assertThat(placement.refusal()).hasValue(Placement.Refusal.ALL_PAUSED);
        assertThat(placement.retryAfterMs()).isAtLeast(fromMs);
        assertThat(placement.retryAfterMs()).isAtMost(toMs);
    }

    private Placement place(List<EndpointLoad> groups, Set<VmName> tried, long nowNanos) {
        return balancer.place(request(tried), groups, engine, UNBOUNDED, nowNanos);
    }

    private static PlacementRequest request(Set<VmName> tried) {
        return new PlacementRequest(1_000, 500, 300, 8_000, ImmutableSet.copyOf(tried), !tried.isEmpty(), HERE);
    }

    private static void send(EndpointLoad group, int requests) {
        for (int i = 0; i < requests; i++) {
            group.recordSent(0);
        }
    }

    private static EndpointLoad crossDomainGroup(String name) {
        return endpoint(name, HERE, PROFILE.crossDomainFactor());
    }

    private static EndpointLoad group(String name, AvailabilityZone zone) {
        return endpoint(name, zone, 1);
    }

    private static EndpointLoad endpoint(String name, AvailabilityZone zone, double paceFactor) {
        return new EndpointLoad(
                new VmIncarnation(VmName.of(name), 1),
                ServiceName.of("pool"),
                "10.0.0.1:80",
                zone,
                Optional.of(MODEL.name()),
                18,
                paceFactor,
                new SendRestriction(),
                0,
                0);
    }
}
