package org.wigeongrade.decisions.overload;

import static com.google.common.truth.Truth.assertThat;

import java.util.LongSummaryStatistics;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RequestRank;
import org.wigeongrade.ids.ModelVersionName;

final class RankedTargetsTest {
    private static final ModelVersionName MODEL = ModelVersionName.of("m");
    private static final ModelVersionName OTHER_MODEL = ModelVersionName.of("other");
    private static final int REQUESTS = 100;

    @ParameterizedTest
    @CsvSource({
        // rank, target and number of earlier requests, seconds since then, rank and target of further requests, and the
        // lowest and highest target that these are admitted at
        "0, 400, 100, 1, 1, 400, 300, 400",
        "0, 400, 100, 9, 2, 800, 300, 800",
        "0, 400, 100, 40, 2, 800, 800, 800",
        "0, 400, 5, 1, 1, 400, 400, 400",
        "1, 400, 100, 1, 1, 500, 500, 500",
        "2, 100, 100, 1, 1, 400, 400, 400",
        "0, 900, 100, 1, 1, 400, 400, 400",
    })
    void lowerRankLeavesRoomForHigherRanks(
            int earlierRank,
            long earlierTargetMs,
            int earlierRequests,
            long elapsedS,
            int rank,
            long targetMs,
            long lowestMs,
            long highestMs) {
        final RankedTargets targets = new RankedTargets(new SplittableRandom(1));
        for (int request = 0; request < earlierRequests; request++) {
            final long unused = targets.admissionTargetMs(MODEL, new RequestRank(earlierRank, 3), earlierTargetMs, 0);
        }
        for (int request = 0; request < REQUESTS; request++) {
            final long unused = targets.admissionTargetMs(
                    MODEL, new RequestRank(rank, 3), targetMs, TimeUnit.SECONDS.toNanos(elapsedS));
        }

        final LongSummaryStatistics admittedAtMs = IntStream.range(0, REQUESTS)
                .mapToLong(request -> targets.admissionTargetMs(
                        MODEL, new RequestRank(rank, 3), targetMs, TimeUnit.SECONDS.toNanos(elapsedS)))
                .summaryStatistics();

        assertThat(admittedAtMs.getMin()).isEqualTo(lowestMs);
        assertThat(admittedAtMs.getMax()).isEqualTo(highestMs);
        assertThat(targets.admissionTargetMs(OTHER_MODEL, new RequestRank(rank, 3), targetMs, 0))
                .isEqualTo(targetMs);
    }
}
