package org.wigeongrade.decisions.reachability;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.ids.AvailabilityZone;

/** Tests what an entry node concludes from failures at endpoints, openings of connections and probes. */
final class EndpointReachabilityTest {
    private static final ImmutableList<String> ENDPOINTS = ImmutableList.of("a1", "a2", "b1", "b2", "c1", "c2");

    private final EndpointReachability<String> reachability = new EndpointReachability<>();
    private ProbeRound<String> round = new ProbeRound<>(0, ImmutableList.of());

    /** Steps: an endpoint's name for its failure, "open", "probe" for a round, "x" for a failed probe, "old" for a late one. */
    @ParameterizedTest
    @CsvSource({
        "a1, WORKING",
        "a1 a1 a1, WORKING",
        "a1 open b1, WORKING",
        "a1 b1, IN_DOUBT",
        "a1 b1 open, WORKING",
        "a1 b1 probe x x, IN_DOUBT",
        "a1 b1 probe x x x, CUT",
        "a1 b1 probe x open x x, WORKING",
        "a1 b1 probe x x x c1, CUT",
        "a1 b1 probe x x x probe x x, CUT",
        "a1 b1 probe x x x probe open, WORKING",
        "a1 b1 probe x open a1 b1 probe old old old, IN_DOUBT",
    })
    void stateFollowsFromTheSteps(String steps, LinkState expected) {
        Splitter.on(' ').split(steps).forEach(this::perform);

        assertThat(reachability.state()).isEqualTo(expected);
    }

    private void perform(String step) {
        switch (step) {
            case "open" -> reachability.recordOpened();
            case "probe" -> round = start(ENDPOINTS);
            case "x" -> reachability.recordProbeFailed(round.number());
            case "old" -> reachability.recordProbeFailed(round.number() - 1);
            default -> reachability.recordFailure(step);
        }
    }

    private ProbeRound<String> start(List<String> endpoints) {
        return reachability.startRound(endpoints, name -> AvailabilityZone.of("zone-" + name.charAt(0)), new Random(1));
    }

    /** A zone without power or a few crashed endpoints must not look like lost links of the node. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void probesGoToEndpointsOfDifferentZonesThatHaveNotFailed(long seed) {
        reachability.recordFailure("a1");
        reachability.recordFailure("a2");

        final ProbeRound<String> probes = reachability.startRound(
                ENDPOINTS, name -> AvailabilityZone.of("zone-" + name.charAt(0)), new Random(seed));

        assertThat(probes.targets()).hasSize(3);
        assertThat(probes.targets()).containsNoneOf("a1", "a2");
        assertThat(probes.targets().stream()
                        .map(name -> name.charAt(0))
                        .distinct()
                        .count())
                .isEqualTo(2);
    }

    @Test
    void nodeWithoutEndpointsIsNotCut() {
        reachability.recordFailure("a1");
        reachability.recordFailure("b1");

        assertThat(start(List.of()).targets()).isEmpty();
        assertThat(reachability.state()).isEqualTo(LinkState.WORKING);
    }

    /** Pattern: a third of the endpoints are down, and connections are opened to endpoints at random. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void endpointsThatAreDownDoNotLookLikeACut(long seed) {
        final Random random = new Random(seed);
        final List<String> endpoints = IntStream.range(0, 60)
                .mapToObj(number -> "abc".charAt(number % 3) + Integer.toString(number))
                .toList();
        int cuts = 0;
        for (int request = 0; request < 20_000; request++) {
            connect(endpoints.get(random.nextInt(endpoints.size())));
            if (reachability.state() == LinkState.IN_DOUBT) {
                start(endpoints).targets().forEach(this::probe);
            }
            cuts += reachability.state() == LinkState.CUT ? 1 : 0;
            reachability.recordOpened();
        }

        assertThat(cuts).isEqualTo(0);
    }

    private void connect(String endpoint) {
        if (isDown(endpoint)) {
            reachability.recordFailure(endpoint);
        } else {
            reachability.recordOpened();
        }
    }

    private void probe(String endpoint) {
        if (isDown(endpoint)) {
            reachability.recordProbeFailed(round.number());
        } else {
            reachability.recordOpened();
        }
    }

    /** Zone a is without power. */
    private static boolean isDown(String endpoint) {
        return endpoint.startsWith("a");
    }
}
