package org.wigeongrade.decisions.placement;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_1;
import static org.wigeongrade.decisions.TestDeclaredSets.GUIDE_2;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.wigeongrade.bench.VirtualFleet;
import org.wigeongrade.bench.VirtualVm;
import org.wigeongrade.decisions.TestDeclaredSets;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.config.PlacementObjective;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.control.ControlCodec;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Checks invariants of the control state and the planner under random disturbances in virtual time. */
final class PlacementProperties {
    private static final int STEPS = 120;
    private static final List<AvailabilityZone> ZONES =
            List.of(TestDeclaredSets.ZONE_A, TestDeclaredSets.ZONE_B, TestDeclaredSets.ZONE_C);

    @Property(tries = 120, seed = "41")
    void noVmIsInTwoGroupsAndNoGroupServesWithAMemberMissing(@ForAll long seed) {
        final VirtualFleet fleet = VirtualFleets.of(2, 3);
        final Random random = new Random(seed);
        fleet.declare(TestDeclaredSets.with(pool(random)));
        ControlState lagging = ControlState.restore(fleet.state().snapshot());
        for (int step = 0; step < STEPS; step++) {
            disturbAtRandom(fleet, random);
            proposeCommittedCommandAgain(fleet, random);
            if (random.nextInt(8) == 0) {
                fleet.commitPlanFrom(lagging);
                lagging = ControlState.restore(fleet.state().snapshot());
            }
            fleet.step(VirtualFleets.SECOND_NANOS);
            checkMembers(fleet);
            fleet.servingGroups().forEach(group -> checkServing(fleet, group));
        }
    }

    @Property(tries = 20, seed = "42")
    void afterTheLastDisturbanceEveryGroupThatFitsServesAgain(@ForAll long seed) {
        final VirtualFleet fleet = VirtualFleets.of(2, 3);
        final Random random = new Random(seed);
        fleet.declare(TestDeclaredSets.with(pool(random)));
        for (int step = 0; step < STEPS; step++) {
            disturbAtRandom(fleet, random);
            fleet.step(VirtualFleets.SECOND_NANOS);
        }
        ZONES.forEach(zone -> fleet.setZone(zone, ZoneState.IN));
        fleet.vms().stream().filter(vm -> !vm.isRunning()).forEach(VirtualVm::restart);
        fleet.declare(TestDeclaredSets.with(TestDeclaredSets.pool(6, 2)));

        VirtualFleets.run(fleet, 400);

        assertThat(fleet.servingGroups()).hasSize(6);
        assertThat(fleet.servingGroups().stream().map(FormedGroup::modelVersion).distinct())
                .containsExactly(GUIDE_1);
    }

    @Property(tries = 20, seed = "43")
    void restoredStateEqualsStateThatAppliedEveryCommand(@ForAll long seed) {
        final VirtualFleet fleet = VirtualFleets.of(2, 3);
        final Random random = new Random(seed);
        fleet.declare(TestDeclaredSets.with(pool(random)));
        for (int step = 0; step < STEPS; step++) {
            disturbAtRandom(fleet, random);
            fleet.step(VirtualFleets.SECOND_NANOS);
        }
        final List<Command> log = fleet.log();
        final ControlState uninterrupted = new ControlState();
        ControlState restored = new ControlState();
        final int restoreIndex = random.nextInt(log.size());
        for (int i = 0; i < log.size(); i++) {
            if (i == restoreIndex) {
                restored = ControlState.restore(ControlCodec.decodeSnapshot(ControlCodec.encode(restored.snapshot())));
            }
            final Command decoded = ControlCodec.decodeCommand(ControlCodec.encode(log.get(i)));
            assertThat(restored.apply(i + 1, decoded)).isEqualTo(uninterrupted.apply(i + 1, log.get(i)));
        }

        final byte[] expected = ControlCodec.encode(uninterrupted.snapshot());
        assertThat(Arrays.equals(ControlCodec.encode(restored.snapshot()), expected))
                .isTrue();
    }

    private static void disturbAtRandom(VirtualFleet fleet, Random random) {
        final VirtualVm vm = fleet.vms().get(random.nextInt(fleet.vms().size()));
        switch (random.nextInt(16)) {
            case 0 -> vm.stop();
            case 1, 2 -> vm.resume();
            case 3 -> vm.restart();
            case 4 -> fleet.changeLeader();
            case 5 -> fleet.setZone(ZONES.get(random.nextInt(3)), ZoneState.OUT);
            case 6, 7 -> fleet.setZone(ZONES.get(random.nextInt(3)), ZoneState.IN);
            case 8 -> fleet.declare(TestDeclaredSets.with(pool(random)));
            case 9 ->
                fleet.vms().stream()
                        .filter(other -> other.domain().equals(vm.domain()))
                        .forEach(VirtualVm::stop);
            default -> {
                // No disturbance in this step.
            }
        }
    }

    /**
     * Commits a command of the log a second time, as happens when the reply to a proposal is lost. The declared set
     * and the zone states must not change.
     */
    private static void proposeCommittedCommandAgain(VirtualFleet fleet, Random random) {
        final Command committed = fleet.log().get(random.nextInt(fleet.log().size()));
        final DeclaredSet declaredSet = fleet.state().declaredSet();
        final Map<AvailabilityZone, ZoneState> zones = fleet.state().zoneStates();
        fleet.propose(committed);
        assertThat(fleet.state().declaredSet()).isEqualTo(declaredSet);
        assertThat(fleet.state().zoneStates()).isEqualTo(zones);
    }

    private static PoolDeclaration pool(Random random) {
        return TestDeclaredSets.pool(
                random.nextInt(8),
                1 + random.nextInt(3),
                random.nextBoolean() ? GUIDE_1 : GUIDE_2,
                random.nextBoolean() ? PlacementObjective.GROUP_DOWNTIME : PlacementObjective.STRANDED_ACCELERATORS,
                random.nextInt(2),
                random.nextBoolean(),
                1 + random.nextInt(4));
    }

    private static void checkMembers(VirtualFleet fleet) {
        final Set<VmName> seen = new HashSet<>();
        for (final FormedGroup group : fleet.state().groups()) {
            for (final VmIncarnation member : group.members()) {
                assertWithMessage("%s in two groups", member)
                        .that(seen.add(member.vm()))
                        .isTrue();
                assertThat(vm(fleet, member.vm()).domain()).isEqualTo(group.fabricDomain());
            }
        }
    }

    private static void checkServing(VirtualFleet fleet, FormedGroup group) {
        assertThat(fleet.state().zoneStates().get(group.zone())).isEqualTo(ZoneState.IN);
        for (final VmIncarnation member : group.members()) {
            final VirtualVm vm = vm(fleet, member.vm());
            final boolean present = vm.identity().equals(member)
                    && fleet.nowNanos() - vm.lastAnnouncedAtNanos() < VirtualFleet.LEASE_NANOS;
            assertWithMessage("%s of %s", member, group.group()).that(present).isTrue();
        }
    }

    private static VirtualVm vm(VirtualFleet fleet, VmName name) {
        return VirtualFleets.vm(fleet, name.value());
    }
}
