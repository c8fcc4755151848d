package org.wigeongrade.decisions.grouping;

import static com.google.common.truth.Truth.assertThat;
import static org.wigeongrade.decisions.grouping.SimulatedFleet.LARGE;
import static org.wigeongrade.decisions.grouping.SimulatedFleet.SMALL;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Patterns of lost VMs against engine VMs in virtual time. */
final class GroupPlannerTest {
    private static final long LOADED_MS = 60_000;
    /** Callers of the users' deployments come this long after the VMs have started. */
    private static final long CALLERS_COME_MS = 15_000;

    private final SimulatedFleet fleet = new SimulatedFleet(6, 8, 1);

    @Test
    void formsGroupsByShareAndKeepsSpares() {
        fleet.run(LOADED_MS);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void everyGroupServesBeforeSparesTakeTheRoomForLoads() {
        fleet.run(CALLERS_COME_MS);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
    }

    @Test
    void lostMemberIsReplacedByWarmSpareWithinTwoHeartbeatsAndAHalf() {
        fleet.run(LOADED_MS);
        final SimulatedVm head = fleet.anyHead();
        final int before = fleet.loads;
        fleet.vms.stream()
                .filter(vm -> !vm.isHead() && head.group.equals(vm.group))
                .findFirst()
                .orElseThrow()
                .ended = true;
        fleet.run(5 * SimulatedFleet.HEARTBEAT_MS / 2 + 1_500);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.loads).isAtMost(before + 1);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void groupWithoutProgressIsDoubtedAtOnceAndRepairedWithinTwoSeconds() {
        fleet.run(LOADED_MS);
        fleet.callersKeepEveryGroupBusy();
        fleet.run(2_000);
        final SimulatedVm head = fleet.anyHead();
        fleet.vms.stream()
                .filter(vm -> !vm.isHead() && head.group.equals(vm.group))
                .findFirst()
                .orElseThrow()
                .ended = true;
        fleet.run(400);
        assertThat(fleet.suspects()).containsExactly(head.life);

        fleet.run(1_600);
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isEqualTo(12);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void headThatRefusesConnectionsIsDoubtedThoughItSentBytesJustBefore() {
        fleet.run(LOADED_MS);
        fleet.callersKeepEveryGroupBusy();
        fleet.run(2_000);
        final SimulatedVm head = fleet.anyHead();
        head.ended = true;
        fleet.refusedBy(head);
        fleet.run(100);

        assertThat(fleet.suspects()).containsExactly(head.life);
        fleet.run(500);
        assertThat(fleet.changes.stream()
                        .filter(change -> change.phase() == GroupPhase.CLOSING)
                        .flatMap(change -> change.members().stream()))
                .contains(head.life);
    }

    @Test
    void spareOfAnotherModelStandsInAfterAWarmupOnceItsOwnModelsSparesAreGone() {
        fleet.run(LOADED_MS);
        fleet.callersCome();
        fleet.run(LOADED_MS);
        final int before = fleet.loads;
        fleet.loseMembers(LARGE, 2);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
        assertThat(fleet.loads - before).isAtMost(2);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void zoneThatComesBackFormsItsGroupsInsideTheirDomains() {
        fleet.run(LOADED_MS);
        fleet.callersCome();
        fleet.run(20_000);
        fleet.restartDomains(Set.of("domain-0", "domain-1"), 2_000, 300);
        fleet.run(7_000);

        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void groupsWhoseHeartbeatsFindNoLeaderForAWhileServeOn() {
        fleet.run(LOADED_MS);
        fleet.changes.clear();
        fleet.vms.forEach(vm -> vm.mute = true);
        fleet.run(4_000);
        fleet.newLeader();
        fleet.run(1_000);
        fleet.vms.forEach(vm -> vm.mute = false);
        fleet.run(3_000);

        assertThat(fleet.changes.stream().map(GroupChange::phase).toList()).doesNotContain(GroupPhase.CLOSING);
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isEqualTo(12);
    }

    @Test
    void burstOfOneModelIsServedBySparesThatHoldItsWeights() {
        fleet.run(LOADED_MS);
        fleet.callersCome();
        fleet.run(2 * LOADED_MS);
        fleet.crowd(SMALL);
        fleet.run(6_000);

        assertThat(fleet.serving(SMALL)).isAtLeast(8);
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void survivorsOfDarkHeadWaitUntilItIsBroken() {
        fleet.run(LOADED_MS);
        fleet.anyHead().dark = true;
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isAtLeast(12);
    }

    @Test
    void leavingMemberEndsItsGroupAndIsReplaced() {
        fleet.run(LOADED_MS);
        fleet.anyInGroup().draining = true;
        fleet.run(10_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE)).isAtLeast(6);
        assertThat(fleet.serving(SMALL)).isAtLeast(6);
    }

    @Test
    void domainThatLostTwoMembersServesWithinAnotherDomainsReachAndComesBack() {
        fleet.run(LOADED_MS);
        fleet.callersCome();
        fleet.loseMembers(LARGE, 2);
        fleet.run(8_000);
        assertThat(fleet.serving(LARGE)).isAtLeast(5);

        fleet.run(30_000);
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void newLeaderTakesOverWholeGroupsAsTheyAre() {
        fleet.run(LOADED_MS);
        final int before = fleet.loads;
        fleet.newLeader();
        fleet.run(5_000);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.loads).isEqualTo(before);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void leaderThatKnowsNothingTakesOverEachGroupAsItsMembersAreHeard() {
        fleet.run(LOADED_MS);
        final int before = fleet.loads;
        fleet.restartControl();
        fleet.run(10_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.loads).isEqualTo(before);
    }

    @ParameterizedTest
    @ValueSource(longs = {100, 300, 600, 1_000})
    void leaderThatIsBehindTakesNoVmOfAGroupItHasNotHeardOf(long lagMs) {
        fleet.run(LOADED_MS);
        for (int round = 0; round < 12; round++) {
            fleet.anyInGroup().ended = true;
            fleet.add("vm-new-" + round, "domain-" + round % 6);
            fleet.run(2_500 + fleet.random.nextInt(3_000));
            fleet.newLeaderBehind(lagMs);
        }
        fleet.run(10_000);

        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void spareThatCouldNotBeReachedForAWhileStaysWithItsModel() {
        fleet.run(LOADED_MS);
        final int before = fleet.loads;
        fleet.vms.stream()
                .filter(vm -> vm.group != null && vm.members.size() == 1)
                .forEach(vm -> vm.dark = true);
        fleet.run(6_000);
        fleet.vms.forEach(vm -> vm.dark = false);
        fleet.run(6_000);

        assertThat(fleet.loads).isEqualTo(before);
    }

    @Test
    void emptyVmBecomesSpareThatNeedsNoLoadLater() {
        fleet.run(LOADED_MS);
        fleet.anyInGroup().ended = true;
        fleet.add("vm-new", "domain-0");
        fleet.run(40_000);

        assertThat(fleet.vms.get(fleet.vms.size() - 1).lastModel).isNotNull();
        assertThat(fleet.violations).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(
            longs = {
                1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28,
                29, 30
            })
    void noGroupIsPartialAndNoVmInTwoWhateverHappens(long seed) {
        final SimulatedFleet shaken = new SimulatedFleet(4, 8, seed);
        shaken.run(LOADED_MS);
        for (int round = 0; round < 25; round++) {
            shaken.lateOrders = shaken.random.nextInt(3) == 0 ? 0.35 : 0;
            switch (shaken.random.nextInt(8)) {
                case 0 -> shaken.anyInGroup().ended = true;
                case 1 -> shaken.anyInGroup().dark = true;
                case 2 -> shaken.newLeader();
                case 3 -> shaken.vms.forEach(vm -> vm.dark = false);
                case 4 -> shaken.anyInGroup().draining = true;
                case 5 -> shaken.restartControl();
                case 6 -> shaken.newLeaderBehind(shaken.random.nextInt(1_200));
                default -> shaken.add("vm-added-" + round, "domain-" + shaken.random.nextInt(4));
            }
            shaken.run(shaken.random.nextInt(6_000));
        }
        assertThat(shaken.violations).isEmpty();
    }
}
