package org.wigeongrade.decisions.grouping;

import static com.google.common.truth.Truth.assertThat;
import static org.wigeongrade.decisions.grouping.SimulatedFleet.LARGE;
import static org.wigeongrade.decisions.grouping.SimulatedFleet.SMALL;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.discovery.VmHeartbeat;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.RecordedGroup;
import org.wigeongrade.ids.GroupName;

/** Tests the planner against simulated engine VMs in virtual time, with VMs and leaders lost in many patterns. */
final class GroupPlannerTest {
    private static final long LOADED_MS = 60_000;
    /** Time after the start of the VMs at which callers start to send requests in the users' deployments. */
    private static final long CALLERS_START_MS = 15_000;

    private final SimulatedFleet fleet = new SimulatedFleet(6, 8, 1);

    @Test
    void formsGroupsByShareAndKeepsSpares() {
        fleet.run(LOADED_MS);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void groupsLoadWeightsBeforeSpares() {
        fleet.run(CALLERS_START_MS);

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
    void stalledGroupIsSuspectAtOnceAndRepairedWithinTwoSeconds() {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        fleet.run(2_000);
        final SimulatedVm head = fleet.anyHead();
        fleet.vms.stream()
                .filter(vm -> !vm.isHead() && head.group.equals(vm.group))
                .findFirst()
                .orElseThrow()
                .ended = true;
        fleet.run(400);
        assertThat(fleet.suspects()).containsExactly(head.incarnation);

        fleet.run(1_600);
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isEqualTo(12);
        assertThat(fleet.violations).isEmpty();
    }

    /** A group whose head or member is silent for a second and goes on must not be closed under its requests. */
    @ParameterizedTest
    @CsvSource({"true, 700", "true, 1000", "false, 700", "false, 1000"})
    void groupSurvivesASecondOfSilence(boolean ofHead, long silentMs) {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        fleet.run(2_000);
        final SimulatedVm head = fleet.anyHead();
        final SimulatedVm silent = ofHead ? head : fleet.memberOf(head);
        fleet.changes.clear();
        silent.silent = true;
        fleet.run(100);
        assertThat(fleet.suspects()).isEmpty();
        fleet.run(silentMs - 100);
        silent.silent = false;
        fleet.run(3_000);

        assertThat(fleet.changes.stream()
                        .map(GroupPhaseChange::phase)
                        .distinct()
                        .toList())
                .containsNoneOf(GroupPhase.CLOSING, GroupPhase.BREAKING, GroupPhase.ENDED);
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isEqualTo(12);
        assertThat(fleet.suspects()).isEmpty();
    }

    @Test
    void headThatRefusesConnectionsIsSuspectDespiteRecentBytes() {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        fleet.run(2_000);
        final SimulatedVm head = fleet.anyHead();
        head.ended = true;
        fleet.refuseConnectionsAt(head);
        fleet.run(100);

        assertThat(fleet.suspects()).containsExactly(head.incarnation);
        fleet.run(500);
        assertThat(fleet.changes.stream()
                        .filter(change -> change.phase() == GroupPhase.CLOSING)
                        .flatMap(change -> change.members().stream()))
                .contains(head.incarnation);
    }

    @Test
    void spareOfOtherModelReplacesMemberAfterWarmupWhenNoSpareOfModelIsLeft() {
        fleet.run(LOADED_MS);
        fleet.startCallers();
        fleet.run(LOADED_MS);
        final int before = fleet.loads;
        fleet.loseMembers(LARGE, 2);

        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
        assertThat(fleet.loads - before).isAtMost(2);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void restartedZoneFormsGroupsWithinDomains() {
        fleet.run(LOADED_MS);
        fleet.startCallers();
        fleet.run(20_000);
        fleet.restartDomains(Set.of("domain-0", "domain-1"), 2_000, 300);
        fleet.run(7_000);

        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.serving(SMALL)).isEqualTo(6);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void groupsKeepServingWhileNoLeaderReceivesHeartbeats() {
        fleet.run(LOADED_MS);
        fleet.changes.clear();
        fleet.vms.forEach(vm -> vm.losesHeartbeats = true);
        fleet.run(4_000);
        fleet.newLeader();
        fleet.run(1_000);
        fleet.vms.forEach(vm -> vm.losesHeartbeats = false);
        fleet.run(3_000);

        assertThat(fleet.changes.stream().map(GroupPhaseChange::phase).toList()).doesNotContain(GroupPhase.CLOSING);
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isEqualTo(12);
    }

    @Test
    void burstOfOneModelIsServedBySparesThatHoldItsWeights() {
        fleet.run(LOADED_MS);
        fleet.startCallers();
        fleet.run(2 * LOADED_MS);
        fleet.saturate(SMALL);
        fleet.run(6_000);

        assertThat(fleet.serving(SMALL)).isAtLeast(8);
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void membersOfPartitionedHeadWaitUntilItIsBroken() {
        fleet.run(LOADED_MS);
        fleet.anyHead().partitioned = true;
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isAtLeast(12);
    }

    /** Members that left a partitioned head under an earlier leader joined other groups before the head was broken. */
    @ParameterizedTest
    @ValueSource(longs = {1_500, 2_500, 3_500, 4_500})
    void membersThatLeftPartitionedHeadStayUnusedUnderNewLeader(long afterMs) {
        fleet.run(LOADED_MS);
        fleet.anyHead().partitioned = true;
        fleet.run(afterMs);
        fleet.newLeader();
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isAtLeast(12);
    }

    /** A member that restarted under its name as the leader changed joined a group before its old head was broken. */
    @ParameterizedTest
    @CsvSource({"true, 100", "true, 600", "false, 100", "false, 600"})
    void restartedMemberStaysUnusedUnderNewLeader(boolean headPartitioned, long afterMs) {
        fleet.run(LOADED_MS);
        final SimulatedVm head = fleet.anyHead();
        final SimulatedVm member = fleet.memberOf(head);
        head.partitioned = headPartitioned;
        fleet.newLeader();
        fleet.restart(member);
        fleet.run(afterMs);
        fleet.newLeader();
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isAtLeast(12);
    }

    /** A member that restarted behind a cut, long after a change of leader, joined a group before its head was broken. */
    @ParameterizedTest
    @ValueSource(longs = {2_500, 3_500, 5_500, 8_000})
    void memberThatRestartedBehindCutStaysUnused(long afterMs) {
        fleet.run(LOADED_MS);
        final SimulatedVm head = fleet.anyHead();
        final List<SimulatedVm> members = fleet.membersOf(head);
        members.forEach(member -> member.partitioned = true);
        fleet.restartControl();
        fleet.run(afterMs);
        fleet.restart(members.get(1));
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A group that nobody had heard for a minute counted as ended, so that its members were used before its head. */
    @ParameterizedTest
    @ValueSource(longs = {61_000, 63_000, 65_000, 70_000})
    void membersOfGroupThatWasCutForAMinuteStayUnused(long cutMs) {
        fleet.run(LOADED_MS);
        final List<SimulatedVm> members = fleet.membersOf(fleet.anyHead());
        members.forEach(member -> member.partitioned = true);
        fleet.run(cutMs);
        members.get(0).losesHeartbeats = true;
        members.forEach(member -> member.partitioned = false);
        fleet.run(2_400);
        members.get(0).losesHeartbeats = false;
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A delayed heartbeat that named the spare which a VM had left made the VM free while its head was open. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1_200, 2_600, 4_000})
    void vmThatADelayedHeartbeatCallsASpareStaysUnused(long delayMs) {
        fleet.run(LOADED_MS);
        final SimulatedVm spare = fleet.anySpare();
        final VmHeartbeat delayed = fleet.latestHeartbeat(spare);
        fleet.endMemberInDomainOf(spare);
        fleet.run(8_000);
        assertThat(spare.members.size()).isGreaterThan(1);
        fleet.membersOf(spare).forEach(member -> member.losesHeartbeats = true);
        fleet.restartControl();
        fleet.run(delayMs);
        fleet.receive(delayed);
        fleet.run(4_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A delayed first heartbeat made a VM count as one that had never joined a group, while the head of its group was open. */
    @ParameterizedTest
    @ValueSource(longs = {100, 1_200, 2_600, 4_000})
    void vmThatADelayedHeartbeatCallsNewStaysUnused(long delayMs) {
        fleet.run(LOADED_MS);
        final SimulatedVm head = fleet.anyHead();
        final VmHeartbeat delayed = fleet.firstHeartbeat(fleet.memberOf(head));
        fleet.membersOf(head).forEach(member -> member.losesHeartbeats = true);
        fleet.restartControl();
        fleet.run(delayMs);
        fleet.receive(delayed);
        fleet.run(4_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A head that had stopped listening, but still had requests, counted as ended after two refused connections. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void membersOfHeadThatRefusesConnectionsStayUnused(boolean losesHeartbeats) {
        fleet.run(LOADED_MS);
        final SimulatedVm head = fleet.anyHead();
        head.refusesConnections = true;
        head.losesHeartbeats = losesHeartbeats;
        fleet.run(12_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A head that served before the log held its group could be unknown to the next leader, who then used its members. */
    @Test
    void headOpensOnlyOnceTheLogHoldsItsGroup() {
        fleet.commits = false;
        fleet.run(LOADED_MS / 4);
        assertThat(fleet.vms.stream().filter(SimulatedVm::mayServe).toList()).isEmpty();

        fleet.commits = true;
        fleet.run(LOADED_MS / 4);
        assertThat(fleet.serving(LARGE) + fleet.serving(SMALL)).isEqualTo(12);
        assertThat(fleet.published.state().groups().all()).hasSize(12);
    }

    /** Groups that were formed while an older build ran beside this one stayed unknown to later leaders. */
    @ParameterizedTest
    @ValueSource(longs = {3_500, 5_500, 8_000})
    void groupsFormedBeforeTheLogCouldHoldThemAreRecorded(long afterMs) {
        final SimulatedFleet upgraded = new SimulatedFleet(6, 8, 1, CommandFormat.WITHDRAWALS);
        upgraded.run(LOADED_MS);
        upgraded.useCommandFormat(CommandFormat.GROUPS);
        upgraded.run(1_000);
        assertThat(upgraded.published.state().groups().all()).hasSize(12);

        final List<SimulatedVm> members = upgraded.membersOf(upgraded.anyHead());
        members.forEach(member -> member.partitioned = true);
        upgraded.restartControl();
        upgraded.run(afterMs);
        upgraded.restart(members.get(1));
        upgraded.run(12_000);
        assertThat(upgraded.violations).isEmpty();
    }

    /** The log must not keep groups that have ended, or their VMs stay unused under the next leader. */
    @Test
    void endedGroupsAreRemovedFromTheLog() {
        fleet.run(LOADED_MS);
        fleet.anyHead().partitioned = true;
        fleet.run(12_000);
        final Set<GroupName> serving = fleet.vms.stream()
                .filter(vm -> vm.mayServe() && !vm.partitioned)
                .map(vm -> vm.group)
                .collect(Collectors.toSet());

        assertThat(fleet.published.state().groups().all().stream()
                        .map(RecordedGroup::name)
                        .toList())
                .containsExactlyElementsIn(serving);
    }

    @Test
    void leavingMemberEndsItsGroupAndIsReplaced() {
        fleet.run(LOADED_MS);
        fleet.anyMember().draining = true;
        fleet.run(10_000);

        assertThat(fleet.violations).isEmpty();
        assertThat(fleet.serving(LARGE)).isAtLeast(6);
        assertThat(fleet.serving(SMALL)).isAtLeast(6);
    }

    @Test
    void domainThatLostTwoMembersFormsCrossDomainGroupAndRecovers() {
        fleet.run(LOADED_MS);
        fleet.startCallers();
        fleet.loseMembers(LARGE, 2);
        fleet.run(8_000);
        assertThat(fleet.serving(LARGE)).isAtLeast(5);

        fleet.run(30_000);
        assertThat(fleet.serving(LARGE)).isEqualTo(6);
        assertThat(fleet.servingAcrossDomains()).isEqualTo(0);
        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void newLeaderKeepsCompleteGroups() {
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
    void leaderWithoutStateAdoptsGroupsFromHeartbeats() {
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
    void leaderWithStaleHeartbeatsTakesNoVmOfUnknownGroup(long lagMs) {
        fleet.run(LOADED_MS);
        for (int round = 0; round < 12; round++) {
            fleet.anyMember().ended = true;
            fleet.add("vm-new-" + round, "domain-" + round % 6);
            fleet.run(2_500 + fleet.random.nextInt(3_000));
            fleet.newLeaderWithStaleHeartbeats(lagMs);
        }
        fleet.run(10_000);

        assertThat(fleet.violations).isEmpty();
    }

    @Test
    void unreachableSpareKeepsItsModel() {
        fleet.run(LOADED_MS);
        final int before = fleet.loads;
        fleet.vms.stream()
                .filter(vm -> vm.group != null && vm.members.size() == 1)
                .forEach(vm -> vm.partitioned = true);
        fleet.run(6_000);
        fleet.vms.forEach(vm -> vm.partitioned = false);
        fleet.run(6_000);

        assertThat(fleet.loads).isEqualTo(before);
    }

    @Test
    void emptyVmBecomesSpareThatNeedsNoLoadLater() {
        fleet.run(LOADED_MS);
        fleet.anyMember().ended = true;
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
    void groupsStayCompleteAndDisjointUnderRandomFaults(long seed) {
        final SimulatedFleet faultyFleet = new SimulatedFleet(4, 8, seed);
        faultyFleet.run(LOADED_MS);
        for (int round = 0; round < 25; round++) {
            faultyFleet.lateOrderFraction = faultyFleet.random.nextInt(3) == 0 ? 0.35 : 0;
            switch (faultyFleet.random.nextInt(8)) {
                case 0 -> faultyFleet.anyMember().ended = true;
                case 1 -> faultyFleet.anyMember().partitioned = true;
                case 2 -> faultyFleet.newLeader();
                case 3 -> faultyFleet.vms.forEach(vm -> vm.partitioned = false);
                case 4 -> faultyFleet.anyMember().draining = true;
                case 5 -> faultyFleet.restartControl();
                case 6 -> faultyFleet.newLeaderWithStaleHeartbeats(faultyFleet.random.nextInt(1_200));
                default -> faultyFleet.add("vm-added-" + round, "domain-" + faultyFleet.random.nextInt(4));
            }
            faultyFleet.run(faultyFleet.random.nextInt(6_000));
        }
        assertThat(faultyFleet.violations).isEmpty();
    }

    /** VMs that restarted soon after a change of leader joined a group before their old head was broken. */
    @ParameterizedTest
    @ValueSource(
            longs = {
                101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111, 112, 113, 114, 115, 116, 117, 118, 119, 120, 121,
                122, 123, 124, 125, 126, 127, 128, 129, 130, 131, 132, 133, 134, 135, 136, 137, 138, 139, 140
            })
    void groupsStayCompleteAndDisjointWhenVmsRestart(long seed) {
        final SimulatedFleet faultyFleet = new SimulatedFleet(4, 8, seed);
        faultyFleet.run(LOADED_MS);
        for (int round = 0; round < 40; round++) {
            faultyFleet.lateOrderFraction = faultyFleet.random.nextInt(2) == 0 ? 0.35 : 0;
            switch (faultyFleet.random.nextInt(6)) {
                case 0, 1 -> faultyFleet.restart(faultyFleet.anyMember());
                case 2 -> faultyFleet.anyMember().partitioned = true;
                case 3 -> faultyFleet.vms.forEach(vm -> vm.partitioned = false);
                case 4 -> faultyFleet.restartControl();
                default -> faultyFleet.newLeader();
            }
            faultyFleet.run(faultyFleet.random.nextInt(6_000));
        }
        assertThat(faultyFleet.violations).isEmpty();
    }
}
