package org.wigeongrade.bench;

import static com.google.common.truth.Truth.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

/** Tests the share mechanism with random sizes, loads and fault rates. */
final class ShareProperties {
    @Property(tries = 200, seed = "20261203")
    void sentRequestsNeverExceedCapacity(
            @ForAll long seed,
            @ForAll @IntRange(min = 1, max = 9) int entryVms,
            @ForAll @IntRange(min = 1, max = 4) int endpoints,
            @ForAll @IntRange(min = 2, max = 16) int capacity,
            @ForAll @IntRange(min = 1, max = 2) int coldCapacity,
            @ForAll @LongRange(min = 300, max = 20_000) long meanFaultIntervalMs,
            @ForAll @LongRange(min = 1_000, max = 20_000) long meanColdStartIntervalMs) {
        ShareResult result = ShareSimulation.run(new ShareScenario(
                seed,
                ShareMechanism.SHARES,
                entryVms,
                endpoints,
                capacity,
                coldCapacity,
                3,
                seed % 2 == 0,
                meanFaultIntervalMs,
                meanColdStartIntervalMs,
                30));
        assertThat(result.warmOverloads()).isEqualTo(0);
        assertThat(result.coldOverloads()).isEqualTo(0);
        assertThat(result.ledgerOverBound()).isEqualTo(0);
    }
}
