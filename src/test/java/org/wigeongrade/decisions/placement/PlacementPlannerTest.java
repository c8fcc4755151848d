package org.wigeongrade.decisions.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_1;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_2;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeongrade.bench.VirtualFleet;
import org.wigeongrade.bench.VirtualVm;
import org.wigeongrade.decisions.TestDeclaredSets;
import org.wigeongrade.decisions.config.PlacementObjective;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmName;

final class PlacementPlannerTest {
    @Test
    void formsDeclaredGroupsInOneDomainEachAndBalancesZones() {
        final VirtualFleet fleet = VirtualFleets.of(1, 4);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(3, 2)));

        VirtualFleets.run(fleet, 30);

        assertThat(fleet.servingGroups()).hasSize(3);
        assertThat(zonesOf(fleet)).hasSize(3);
        for (final FormedGroup group : fleet.state().groups()) {
            assertThat(domainsOf(fleet, group))
                    .containsExactly(group.fabricDomain().value());
        }
    }

    @Test
    void lostMemberIsReplacedBySpareOfTheSameDomain() {
        final VirtualFleet fleet = VirtualFleets.of(1, 3);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(3, 2)));
        VirtualFleets.run(fleet, 30);
        final FormedGroup before = fleet.servingGroups().get(0);
        final VirtualVm lost = VirtualFleets.vm(fleet, before.firstMember().vm().value());

        lost.stop();
        VirtualFleets.run(fleet, 40);

        final FormedGroup after = group(fleet, before.group());
        assertThat(fleet.serves(after)).isTrue();
        assertThat(after.fabricDomain()).isEqualTo(before.fabricDomain());
        assertThat(after.hasVm(lost.name())).isFalse();
        assertThat(after.hasVm(before.members().get(1).vm())).isTrue();
    }

    @Test
    void groupWithoutSpareIsFormedInAnotherDomainAndFreesItsVms() {
        final VirtualFleet fleet = VirtualFleets.of(2, 2);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(3, 2)));
        VirtualFleets.run(fleet, 30);
        final FormedGroup before = fleet.servingGroups().get(0);

        VirtualFleets.vm(fleet, before.firstMember().vm().value()).stop();
        VirtualFleets.run(fleet, 40);

        final FormedGroup after = group(fleet, before.group());
        assertThat(fleet.serves(after)).isTrue();
        assertThat(after.fabricDomain()).isNotEqualTo(before.fabricDomain());
        assertThat(announcesGroup(fleet, before.members().get(1).vm())).isFalse();
    }

    @Test
    void restartedMemberDissolvesItsGroup() {
        final VirtualFleet fleet = VirtualFleets.of(1, 2);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(1, 2)));
        VirtualFleets.run(fleet, 30);

        VirtualFleets.vm(fleet, "zone-a-d1-v1").restart();
        fleet.step(VirtualFleets.SECOND_NANOS);

        assertThat(fleet.servingGroups()).isEmpty();
        assertThat(reasons(fleet)).contains(PlacementReason.MEMBER_RESTARTED);
        VirtualFleets.run(fleet, 30);
        assertThat(fleet.servingGroups()).hasSize(1);
    }

    @Test
    void zoneOutOfServiceGetsNoNewGroup() {
        final VirtualFleet fleet = VirtualFleets.of(1, 4);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(0, 2)));
        fleet.setZone(TestDeclaredSets.ZONE_A, ZoneState.OUT);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(4, 2)));

        VirtualFleets.run(fleet, 30);

        assertThat(fleet.servingGroups()).hasSize(4);
        assertThat(zonesOf(fleet)).containsExactly(TestDeclaredSets.ZONE_B, TestDeclaredSets.ZONE_C);
    }

    @Test
    void groupsAreHeldWhenEveryZoneIsOutOfService() {
        final VirtualFleet fleet = VirtualFleets.of(1, 4);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(1, 2)));
        List.of(TestDeclaredSets.ZONE_A, TestDeclaredSets.ZONE_B, TestDeclaredSets.ZONE_C)
                .forEach(zone -> fleet.setZone(zone, ZoneState.OUT));

        VirtualFleets.run(fleet, 1);

        assertThat(reasons(fleet)).containsExactly(PlacementReason.ZONES_OUT);
    }

    @Test
    void fewerReplicasDissolveTheHighestNumbersAndFreeTheirVms() {
        final VirtualFleet fleet = VirtualFleets.of(1, 4);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(4, 2)));
        VirtualFleets.run(fleet, 30);

        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(2, 2)));
        VirtualFleets.run(fleet, 5);

        assertThat(fleet.state().groups().stream().map(FormedGroup::group))
                .containsExactly(GroupName.of("guide/1"), GroupName.of("guide/2"));
        assertThat(fleet.vms().stream().filter(vm -> announcesGroup(fleet, vm.name())))
                .hasSize(4);
    }

    @Test
    void newModelVersionReplacesOneGroupAtATime() {
        final VirtualFleet fleet = VirtualFleets.of(1, 4);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(4, 2)));
        VirtualFleets.run(fleet, 30);

        fleet.declare(TestDeclaredSets.with(pool(4, PlacementObjective.GROUP_DOWNTIME, 0, true, 100, true)));
        for (int second = 0; second < 200; second++) {
            fleet.step(VirtualFleets.SECOND_NANOS);
            assertWithMessage("second %s", second)
                    .that(fleet.servingGroups().size())
                    .isAtLeast(3);
        }

        assertThat(fleet.servingGroups().stream().map(FormedGroup::modelVersion).distinct())
                .containsExactly(GUIDE_2);
    }

    @Test
    void concurrentLoadsAreLimited() {
        final VirtualFleet fleet = VirtualFleets.of(1, 4);
        fleet.declare(TestDeclaredSets.with(pool(4, PlacementObjective.GROUP_DOWNTIME, 0, true, 1, false)));

        VirtualFleets.run(fleet, 10);

        assertThat(fleet.state().groups()).hasSize(1);
        assertThat(reasons(fleet)).contains(PlacementReason.LOADS_BOUND);
        VirtualFleets.run(fleet, 100);
        assertThat(fleet.servingGroups()).hasSize(4);
    }

    @Test
    void sparesAreKeptOnlyForGroupDowntimeObjective() {
        final VirtualFleet keepingSpares = VirtualFleets.of(1, 2);
        keepingSpares.declare(TestDeclaredSets.with(pool(3, PlacementObjective.GROUP_DOWNTIME, 1, true, 100, false)));
        final VirtualFleet packingVms = VirtualFleets.of(1, 2);
        packingVms.declare(
                TestDeclaredSets.with(pool(3, PlacementObjective.STRANDED_ACCELERATORS, 1, true, 100, false)));

        VirtualFleets.run(keepingSpares, 30);
        VirtualFleets.run(packingVms, 30);

        assertThat(keepingSpares.state().groups()).isEmpty();
        assertThat(reasons(keepingSpares)).containsExactly(PlacementReason.SPARES_KEPT);
        assertThat(packingVms.servingGroups()).hasSize(3);
    }

    @Test
    void newLeaderKeepsGroupsOfMembersItHasNotHeardOfYet() {
        final VirtualFleet fleet = VirtualFleets.of(1, 2);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(3, 2)));
        VirtualFleets.run(fleet, 30);
        final VirtualVm paused = VirtualFleets.vm(fleet, "zone-a-d1-v1");

        fleet.changeLeader();
        paused.stop();
        VirtualFleets.run(fleet, 2);
        paused.resume();
        VirtualFleets.run(fleet, 5);

        assertThat(fleet.servingGroups()).hasSize(3);
    }

    @Test
    void newLeaderHoldsOrdersToEndpointsThatIgnoreFencingTokens() {
        final VirtualFleet fleet = VirtualFleets.of(1, 2);
        fleet.declare(TestDeclaredSets.with(pool(1, PlacementObjective.GROUP_DOWNTIME, 0, false, 100, false)));
        fleet.changeLeader();

        VirtualFleets.run(fleet, 2);

        assertThat(reasons(fleet)).containsExactly(PlacementReason.OLD_LEADER_ORDERS);
        VirtualFleets.run(fleet, 30);
        assertThat(fleet.servingGroups()).hasSize(1);
    }

    @Test
    void vmsFollowNewControlStateAfterOldStateWasLost() {
        final VirtualFleet before = VirtualFleets.of(1, 2);
        before.declare(TestDeclaredSets.with(TestDeclaredSets.pool(3, 2)));
        before.changeLeader();
        VirtualFleets.run(before, 30);

        final VirtualFleet after = new VirtualFleet(before.vms(), PlacementPlanner::plan);
        after.declare(TestDeclaredSets.with(pool(3, PlacementObjective.GROUP_DOWNTIME, 0, true, 100, true)));
        VirtualFleets.run(after, 60);

        assertThat(after.servingGroups()).hasSize(3);
    }

    private static PoolDeclaration pool(
            int replicas, PlacementObjective weighs, int spares, boolean fencing, int maxLoads, boolean newVersion) {
        return TestDeclaredSets.pool(replicas, 2, newVersion ? GUIDE_2 : GUIDE_1, weighs, spares, fencing, maxLoads);
    }

    private static FormedGroup group(VirtualFleet fleet, GroupName name) {
        return fleet.state().groups().stream()
                .filter(group -> group.group().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static ImmutableSet<AvailabilityZone> zonesOf(VirtualFleet fleet) {
        return fleet.state().groups().stream().map(FormedGroup::zone).collect(ImmutableSet.toImmutableSet());
    }

    private static ImmutableSet<String> domainsOf(VirtualFleet fleet, FormedGroup group) {
        return fleet.vms().stream()
                .filter(vm -> group.hasVm(vm.name()))
                .map(vm -> vm.domain().value())
                .collect(ImmutableSet.toImmutableSet());
    }

    private static boolean announcesGroup(VirtualFleet fleet, VmName vm) {
        return fleet.announcements()
                .live(vm, fleet.nowNanos())
                .filter(announcement -> announcement.group().isPresent())
                .isPresent();
    }

    private static ImmutableSet<PlacementReason> reasons(VirtualFleet fleet) {
        return fleet.lastPlan().stream().map(PlacementAction::reason).collect(ImmutableSet.toImmutableSet());
    }
}
