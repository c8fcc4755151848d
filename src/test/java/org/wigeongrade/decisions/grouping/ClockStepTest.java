package org.wigeongrade.decisions.grouping;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** The waits of a leader whose time of day is set, or whose VM is suspended, while a group cannot be reached. */
final class ClockStepTest {
    private static final long LOADED_MS = 60_000;
    private static final long REFORMED_MS = 40_000;
    private static final int CI_SEEDS = 20;

    /** A change of the leader's clocks, counted from the loss of the member. */
    private record Change(long atMs, long stepMs, long suspendMs) {
        static Change step(long atMs, long stepMs) {
            return new Change(atMs, stepMs, 0);
        }

        void apply(SimulatedFleet fleet) {
            fleet.stepTimeOfDay(stepMs);
            if (suspendMs > 0) {
                fleet.suspendLeader(suspendMs);
            }
        }
    }

    private final SimulatedFleet fleet = new SimulatedFleet(6, 8, 1);

    private static Stream<List<Change>> changes() {
        return Stream.of(
                List.of(),
                List.of(Change.step(1_000, 2_400)),
                List.of(Change.step(1_000, 60_000)),
                List.of(Change.step(1_000, -2_400)),
                List.of(Change.step(1_000, 2_400), Change.step(1_500, -2_400)),
                List.of(
                        Change.step(1_000, 950),
                        Change.step(1_250, -950),
                        Change.step(1_600, 950),
                        Change.step(1_850, -950),
                        Change.step(2_200, 950),
                        Change.step(2_450, -950)),
                Stream.iterate(500L, atMs -> atMs < 4_000, atMs -> atMs + 100)
                        .map(atMs -> Change.step(atMs, 190))
                        .toList(),
                List.of(new Change(1_000, 0, 700)),
                List.of(new Change(1_000, 2_400, 700)),
                List.of(new Change(1_000, -2_400, 700), Change.step(2_000, 2_400)));
    }

    static Stream<Arguments> returns() {
        return Stream.of(1_500L, 2_500L, 3_500L)
                .flatMap(returnsMs -> changes().map(changes -> Arguments.of(returnsMs, changes)));
    }

    /** A step forward shortened the wait for an unreachable head, and a member that had not left it joined another group. */
    @ParameterizedTest
    @MethodSource("returns")
    void memberOfUnreachableHeadIsNotTakenSooner(long memberReturnsMs, List<Change> changes) {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        final SimulatedVm head = fleet.vms.stream()
                .filter(vm -> vm.isHead() && vm.members.size() == SimulatedFleet.LARGE.groupSize())
                .findFirst()
                .orElseThrow();
        final List<SimulatedVm> members = fleet.membersOf(head);
        head.partitioned = true;
        members.get(1).partitioned = true;
        fleet.run(1_000);
        members.get(2).ended = true;
        changes.forEach(change -> fleet.schedule(change.atMs(), () -> change.apply(fleet)));
        fleet.schedule(memberReturnsMs, () -> members.get(1).partitioned = false);
        fleet.run(16_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A step forward of more than a minute emptied the registry, so that a leader lost sight of every group. */
    @ParameterizedTest
    @ValueSource(longs = {2_400, 20_000, 100_000, -100_000})
    void noVmFallsSilentByAStep(long stepMs) {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        fleet.run(2_000);
        fleet.changes.clear();
        fleet.stepTimeOfDay(stepMs);
        fleet.run(5_000);

        assertThat(fleet.changes).isEmpty();
    }

    /** A suspension is not counted by waits, so that the repair after it may take that much longer, but no more. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500, 2_000, 5_000})
    void groupIsRepairedAfterASuspension(long suspendedMs) {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        final SimulatedVm head = fleet.anyHead();
        head.partitioned = true;
        fleet.memberOf(head).ended = true;
        fleet.run(500);
        fleet.suspendLeader(suspendedMs);
        fleet.run(suspendedMs + REFORMED_MS);

        assertThat(fleet.changes.stream()
                        .filter(change -> change.phase() == GroupPhase.ENDED)
                        .anyMatch(change -> change.members().contains(head.incarnation)))
                .isTrue();
        assertThat(fleet.violations).isEmpty();
    }

    static LongStream seeds() {
        return LongStream.rangeClosed(1, Integer.getInteger("clock.seeds", CI_SEEDS));
    }

    /**
     * Random steps and suspensions among other faults let VMs of a head that could not be reached join other groups. {@code
     * -Dclock.seeds=N} runs the first N seeds.
     */
    @ParameterizedTest
    @MethodSource("seeds")
    void groupsStayCompleteAndDisjointUnderRandomSteps(long seed) {
        final SimulatedFleet faultyFleet = new SimulatedFleet(4, 8, seed);
        faultyFleet.run(LOADED_MS);
        faultyFleet.keepEveryGroupBusy();
        for (int round = 0; round < 40; round++) {
            switch (faultyFleet.random.nextInt(8)) {
                case 0 -> faultyFleet.restart(faultyFleet.anyMember());
                case 1, 2 -> faultyFleet.anyMember().partitioned = true;
                case 3 -> faultyFleet.vms.forEach(vm -> vm.partitioned = false);
                case 4 -> faultyFleet.newLeader();
                case 5 -> faultyFleet.suspendLeader(faultyFleet.random.nextInt(900));
                default -> faultyFleet.stepTimeOfDay(faultyFleet.random.nextInt(5_000) - 1_500);
            }
            faultyFleet.run(faultyFleet.random.nextInt(1_500));
        }
        assertThat(faultyFleet.violations).isEmpty();
    }
}
