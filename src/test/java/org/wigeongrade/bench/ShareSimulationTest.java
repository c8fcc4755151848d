package org.wigeongrade.bench;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the share mechanism while entry VMs die, restart and freeze, the leader changes, messages are late or lost, and
 * endpoints turn cold.
 */
final class ShareSimulationTest {
    private static final int SEEDS = 15;
    private static final int SECONDS = 60;

    private static ShareResult run(
            ShareMechanism mechanism,
            int endpoints,
            int capacity,
            long meanFaultIntervalMs,
            long meanColdStartIntervalMs) {
        ShareResult total = ShareResult.NONE;
        for (int seed = 0; seed < SEEDS; seed++) {
            total = total.plus(ShareSimulation.run(new ShareScenario(
                    seed,
                    mechanism,
                    5,
                    endpoints,
                    capacity,
                    2,
                    4,
                    seed % 2 == 0,
                    meanFaultIntervalMs,
                    meanColdStartIntervalMs,
                    SECONDS)));
        }
        return total;
    }

    @ParameterizedTest(name = "{0} endpoints with capacity {1}, a fault every {2} ms, a cold start every {3} ms")
    @CsvSource({
        "1, 4, 2500, 0",
        "2, 8, 2500, 0",
        "2, 8, 2500, 5000",
        "2, 8, 0, 3000",
        "3, 3, 1000, 2500",
    })
    void noEndpointIsOverloaded(int endpoints, int capacity, long meanFaultIntervalMs, long meanColdStartIntervalMs) {
        ShareResult result =
                run(ShareMechanism.SHARES, endpoints, capacity, meanFaultIntervalMs, meanColdStartIntervalMs);
        assertThat(result.sent()).isGreaterThan(500);
        assertThat(result.warmOverloads()).isEqualTo(0);
        assertThat(result.coldOverloads()).isEqualTo(0);
        assertThat(result.ledgerOverBound()).isEqualTo(0);
    }

    /** Checks that the counters detect overload in baselines that each lack one rule of the mechanism. */
    @ParameterizedTest
    @EnumSource(
            value = ShareMechanism.class,
            names = {"EQUAL_PARTS", "RECLAIM_AT_DEADLINE", "NEW_LEADER_WAITS_FOR_NOTHING", "COLD_SIGNS_IGNORED"})
    void countersDetectAMissingRule(ShareMechanism baseline) {
        ShareResult result = run(baseline, 3, 3, 1000, 2500);
        assertThat(result.warmOverloads() + result.coldOverloads()).isGreaterThan(0);
    }

    @Test
    void countersDetectASendWithoutTheDeadlineCheck() {
        ShareResult result = run(ShareMechanism.NO_CHECK_BEFORE_SEND, 3, 3, 1000, 2500);
        assertThat(result.warmOverloads() + result.coldOverloads()).isGreaterThan(0);
    }

    @Test
    void equalSeedsGiveEqualResults() {
        ShareScenario scenario = new ShareScenario(7, ShareMechanism.SHARES, 5, 2, 8, 2, 2, true, 2500, 5000, 30);
        assertThat(ShareSimulation.run(scenario)).isEqualTo(ShareSimulation.run(scenario));
    }
}
