package org.wigeongrade.decisions.log;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.stream.LongStream;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.GenerationMode;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

/**
 * Checks the log's invariants under seeded random schedules, and shows that the checker detects violations when a
 * safety mechanism is disabled.
 */
final class RaftCoreProperties {
    private static final long FAULTY_MS = 20_000;
    private static final long FAULT_FREE_MS = 6_000;
    private static final int COMPARED_SEEDS = 60;
    private static final long REPLACE_SILENT_AFTER_NANOS = 4_000_000_000L;

    @Property(
            tries = 120,
            seed = "71",
            edgeCases = EdgeCasesMode.NONE,
            generation = GenerationMode.RANDOMIZED,
            shrinking = ShrinkingMode.OFF)
    void threeReplicasAreSafeAndLive(@ForAll long seed) {
        requireSafeAndLive(3, seed);
    }

    @Property(
            tries = 50,
            seed = "72",
            edgeCases = EdgeCasesMode.NONE,
            generation = GenerationMode.RANDOMIZED,
            shrinking = ShrinkingMode.OFF)
    void fiveReplicasAreSafeAndLive(@ForAll long seed) {
        requireSafeAndLive(5, seed);
    }

    @Property(
            tries = 60,
            seed = "73",
            edgeCases = EdgeCasesMode.NONE,
            generation = GenerationMode.RANDOMIZED,
            shrinking = ShrinkingMode.OFF)
    void fiveReplicasOfWhichThreeBootstrapAreSafeAndLive(@ForAll long seed) {
        requireSafeAndLive(
                new SimulatedCluster(5, 3, VoterPolicy.tolerating(2, REPLACE_SILENT_AFTER_NANOS), seed, Faults.ALL),
                seed);
    }

    @Example
    void schedulesReachSnapshotInstallsAndMembershipChanges() {
        int installs = 0;
        int membershipChanges = 0;
        for (long seed = 1; seed <= COMPARED_SEEDS; seed++) {
            SimulatedCluster cluster = new SimulatedCluster(3, seed, Faults.ALL);
            cluster.run(FAULTY_MS, 0);
            assertWithMessage("violations with seed %s", seed)
                    .that(cluster.checker.violations())
                    .isEmpty();
            installs += cluster.checker.installs();
            membershipChanges += cluster.checker.membershipChanges();
        }
        assertThat(installs).isGreaterThan(COMPARED_SEEDS);
        assertThat(membershipChanges).isGreaterThan(2 * COMPARED_SEEDS);
    }

    @Example
    void checkerDetectsUnsyncedDataReportedAsSynced() {
        assertThat(countViolatingSeeds(Faults.ALL.withUnsyncedCountedAsSynced()))
                .isGreaterThan(0);
    }

    @Example
    void checkerDetectsVotesOfEmptyDisks() {
        assertThat(countViolatingSeeds(Faults.ALL.withLostDisksKeepingIncarnation()))
                .isGreaterThan(0);
    }

    @Example
    void checkerDetectsClockJumpsBeyondLeaseMargin() {
        assertThat(countViolatingSeeds(Faults.ALL.withClockJumps())).isGreaterThan(0);
    }

    private static void requireSafeAndLive(int size, long seed) {
        requireSafeAndLive(new SimulatedCluster(size, seed, Faults.ALL), seed);
    }

    private static void requireSafeAndLive(SimulatedCluster cluster, long seed) {
        cluster.run(FAULTY_MS, FAULT_FREE_MS);
        assertWithMessage("violations with seed %s", seed)
                .that(cluster.checker.violations())
                .isEmpty();
        assertWithMessage("convergence with seed %s", seed)
                .that(cluster.hasConverged())
                .isTrue();
        assertThat(cluster.committedIndex()).isGreaterThan(1);
    }

    private static long countViolatingSeeds(Faults faults) {
        long violating = LongStream.rangeClosed(1, COMPARED_SEEDS)
                .filter(seed -> violatesAnInvariant(faults, seed))
                .count();
        System.out.println(faults + ": " + violating + " of " + COMPARED_SEEDS + " seeds violate an invariant");
        return violating;
    }

    private static boolean violatesAnInvariant(Faults faults, long seed) {
        SimulatedCluster cluster = new SimulatedCluster(3, seed, faults);
        cluster.run(FAULTY_MS, 0);
        return !cluster.checker.violations().isEmpty();
    }
}
