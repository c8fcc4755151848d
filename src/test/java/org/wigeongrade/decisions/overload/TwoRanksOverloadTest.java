package org.wigeongrade.decisions.overload;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.BalancingLimits;
import org.wigeongrade.decisions.balancing.EndpointLoad;
import org.wigeongrade.decisions.balancing.EngineLatencyModel;
import org.wigeongrade.decisions.balancing.LearnedOverhead;
import org.wigeongrade.decisions.balancing.Placement;
import org.wigeongrade.decisions.balancing.PlacementRequest;
import org.wigeongrade.decisions.balancing.SimulatedGroups;
import org.wigeongrade.decisions.published.RequestRank;

/**
 * Load pattern: two ranks with about twice the load that their groups can serve. The lower rank has long prompts and a
 * target twice as loose, which got it admitted where the higher rank was refused, so that it kept the groups full.
 */
final class TwoRanksOverloadTest {
    private static final int GROUPS = 4;
    private static final int DURATION_MS = 20_000;

    /** @param rank position of its rank; a request leaves its prompt at the group until its first event */
    private record Kind(int rank, int promptTokens, long targetMs, double perSecond, int events) {}

    private record Change(long atMs, Runnable action) {}

    /** By how much less often than a lower rank the operators let a higher one be served. */
    private static final double RANK_TOLERANCE = 0.05;
    /** A rank that is served less than a quarter as often as all requests counts as starved. */
    private static final double STARVED_FRACTION = 0.25;

    @ParameterizedTest
    @CsvSource({"60, 40", "90, 90", "90, 180", "150, 60"})
    void higherRankIsServedAtLeastAsOftenAndTheLowerOneIsNotStarved(double higherPerSecond, double lowerPerSecond) {
        final double[] admitted = simulate(
                List.of(new Kind(0, 1_460, 400, higherPerSecond, 30), new Kind(2, 2_000, 800, lowerPerSecond, 5)));
        final double all =
                (admitted[0] * higherPerSecond + admitted[1] * lowerPerSecond) / (higherPerSecond + lowerPerSecond);

        assertWithMessage("higher rank and lower rank").that(admitted[0]).isAtLeast(admitted[1] - RANK_TOLERANCE);
        assertWithMessage("lower rank").that(admitted[1]).isAtLeast(STARVED_FRACTION * all);
    }

    /** Returns the fraction of each kind that was admitted. */
    private static double[] simulate(List<Kind> kinds) {
        final Random random = new Random(1);
        final Balancer balancer = new Balancer(random);
        final RankedTargets targets = new RankedTargets(random);
        final EngineLatencyModel engine =
                new EngineLatencyModel(SimulatedGroups.PROFILE, SimulatedGroups.MODEL, new LearnedOverhead());
        final List<EndpointLoad> groups = SimulatedGroups.view(GROUPS);
        final PriorityQueue<Change> changes = new PriorityQueue<>(Comparator.comparingLong(Change::atMs));
        final int[] offered = new int[kinds.size()];
        final int[] admitted = new int[kinds.size()];
        for (int nowMs = 0; nowMs < DURATION_MS; nowMs++) {
            while (!changes.isEmpty() && changes.peek().atMs() <= nowMs) {
                changes.poll().action().run();
            }
            for (int index = 0; index < kinds.size(); index++) {
                if (random.nextDouble() < kinds.get(index).perSecond() / 1_000) {
                    offered[index]++;
                    admitted[index] +=
                            admit(kinds.get(index), balancer, targets, engine, groups, changes, nowMs) ? 1 : 0;
                }
            }
        }
        return IntStream.range(0, kinds.size())
                .mapToDouble(index -> (double) admitted[index] / offered[index])
                .toArray();
    }

    private static boolean admit(
            Kind kind,
            Balancer balancer,
            RankedTargets targets,
            EngineLatencyModel engine,
            List<EndpointLoad> groups,
            PriorityQueue<Change> changes,
            long nowMs) {
        final long nowNanos = nowMs * 1_000_000;
        final long targetMs = targets.admissionTargetMs(
                SimulatedGroups.MODEL.name(), new RequestRank(kind.rank(), 3), kind.targetMs(), nowNanos);
        final Placement placement = balancer.place(
                new PlacementRequest(kind.promptTokens(), targetMs, 300, 8_000, Set.of(), false, SimulatedGroups.ZONE),
                groups,
                Optional.of(engine),
                new BalancingLimits(Double.MAX_VALUE, 1, 0),
                nowNanos);
        placement.endpoint().ifPresent(group -> {
            group.recordSent(nowNanos);
            group.recordPromptSent(kind.promptTokens());
            final long firstEventMs = nowMs + Math.round(placement.predictedMs());
            final double passMs = engine.passMs(group.totalInFlight());
            changes.add(new Change(firstEventMs, () -> group.recordPromptDone(kind.promptTokens())));
            changes.add(
                    new Change(firstEventMs + Math.round(kind.events() * passMs), () -> group.recordEnded(nowNanos)));
        });
        return placement.endpoint().isPresent();
    }
}
