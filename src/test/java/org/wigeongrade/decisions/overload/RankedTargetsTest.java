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
        // rank and target of an earlier request, seconds since then, of the request, and the lowest and highest target
        // that requests like it are admitted at
        "0, 400, 1, 1, 400, 300, 400",
        "0, 400, 9, 2, 800, 300, 800",
        "0, 400, 11, 2, 800, 800, 800",
        "1, 400, 1, 1, 500, 500, 500",
        "2, 100, 1, 1, 400, 400, 400",
        "0, 900, 1, 1, 400, 400, 400",
    })
    void lowerRankLeavesRoomForHigherRanks(
            int earlierRank,
            long earlierTargetMs,
            long elapsedS,
            int rank,
            long targetMs,
            long lowestMs,
            long highestMs) {
        final RankedTargets targets = new RankedTargets(new SplittableRandom(1));
        final long unused = targets.admissionTargetMs(MODEL, new RequestRank(earlierRank, 3), earlierTargetMs, 0);

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
