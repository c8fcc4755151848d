package org.wigeongrade.decisions.grouping;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.published.CommandFormat;
import org.wigeongrade.decisions.published.PublishedCommand;
import org.wigeongrade.decisions.published.PublishedStateMachine;
import org.wigeongrade.decisions.published.RecordedGroup;
import org.wigeongrade.decisions.published.RecordedMember;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Paths by which a VM may count as free without proof, as a reviewer found them. */
final class ReviewedPathsTest {
    private static final long LOADED_MS = 60_000;

    private final SimulatedFleet fleet = new SimulatedFleet(6, 8, 1);

    /** The wait for a head that had not opened yet ended while an order to open it was under way, so that it served late. */
    @ParameterizedTest
    @CsvSource({"false, 4500", "false, 6500", "false, 8500", "true, 4500", "true, 6500", "true, 8500"})
    void membersOfHeadThatOpensLateStayUnused(boolean underNewLeader, long lateMs) {
        fleet.commits = false;
        fleet.run(LOADED_MS / 4);
        final SimulatedVm head = fleet.vms.stream()
                .filter(vm -> vm.isHead() && vm.members.size() > 1)
                .findFirst()
                .orElseThrow();
        final GroupOrder open = order(GroupOrderKind.OPEN, head, head, 1);
        fleet.commits = true;
        head.partitioned = true;
        fleet.run(500);
        if (underNewLeader) {
            fleet.newLeader();
        }
        fleet.schedule(lateMs, () -> {
            final var unused = head.execute(open);
        });
        fleet.run(16_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A late join ended the stall of a head that was cut off, but the leader's wait for its end went on. */
    @ParameterizedTest
    @ValueSource(longs = {3_500, 4_500, 5_500, 6_500})
    void membersThatALateJoinBringsBackStayUnused(long lateMs) {
        while (fleet.vms.stream().noneMatch(SimulatedVm::mayServe)) {
            fleet.run(SimulatedFleet.STEP_MS);
        }
        final SimulatedVm head = fleet.anyHead();
        final List<SimulatedVm> members = fleet.membersOf(head);
        final ImmutableList<GroupOrder> joins = members.stream()
                .skip(1)
                .map(member -> order(GroupOrderKind.JOIN, member, head, 1))
                .collect(ImmutableList.toImmutableList());
        head.partitioned = true;
        fleet.schedule(lateMs, () -> {
            for (int i = 0; i < joins.size(); i++) {
                final var unused = members.get(i + 1).execute(joins.get(i));
            }
        });
        fleet.run(16_000);

        assertThat(fleet.violations).isEmpty();
    }

    /** A new leader closed a group that served well, since one member's heartbeats were lost, though the log named it. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void newLeaderKeepsRecordedGroupWhoseHeadIsOpen(boolean ofHead) {
        fleet.run(LOADED_MS);
        fleet.keepEveryGroupBusy();
        fleet.run(2_000);
        final SimulatedVm head = fleet.anyHead();
        fleet.changes.clear();
        (ofHead ? head : fleet.memberOf(head)).losesHeartbeats = true;
        fleet.restartControl();
        fleet.run(8_000);

        assertThat(fleet.changes.stream().map(GroupPhaseChange::phase).toList()).doesNotContain(GroupPhase.CLOSING);
        assertThat(fleet.violations).isEmpty();
    }

    /** Groups that were cut off when the log began to hold groups stayed unknown, so that their VMs were used too early. */
    @ParameterizedTest
    @ValueSource(longs = {3_500, 5_500, 8_000})
    void membersOfGroupThatWasCutOffDuringTheUpgradeStayUnused(long afterMs) {
        final SimulatedFleet upgraded = new SimulatedFleet(6, 8, 1, CommandFormat.WITHDRAWALS);
        upgraded.run(LOADED_MS);
        final List<SimulatedVm> members = upgraded.membersOf(upgraded.anyHead());
        members.forEach(member -> member.partitioned = true);
        upgraded.restartControl();
        upgraded.useCommandFormat(CommandFormat.GROUPS);
        upgraded.run(afterMs);
        upgraded.restart(members.get(1));
        upgraded.run(12_000);

        assertThat(upgraded.violations).isEmpty();
    }

    /** Epochs of two services are not comparable, but a group of one service replaced or kept out one of the other. */
    @ParameterizedTest
    @ValueSource(longs = {2_000_003, 2_000_017})
    void groupsOfTwoServicesDoNotReplaceEachOther(long otherEpoch) {
        final PublishedStateMachine machine = new PublishedStateMachine();
        machine.apply(new PublishedCommand.UseFormat(CommandFormat.GROUPS).encode());
        final RecordedGroup first = recorded("one", 2_000_010, 1);
        final RecordedGroup second = recorded("two", otherEpoch, 1);
        machine.apply(new PublishedCommand.FormGroup(first).encode());
        machine.apply(new PublishedCommand.FormGroup(second).encode());

        assertThat(machine.state().groups().all()).containsExactly(first, second);
    }

    /** The cap on recorded groups dropped the group that had served for longest, not one that was lost. */
    @ParameterizedTest
    @ValueSource(ints = {4_095, 4_096})
    void groupThatServesStaysRecordedBesideLostOnes(int lostGroups) {
        final PublishedStateMachine machine = new PublishedStateMachine();
        machine.apply(new PublishedCommand.UseFormat(CommandFormat.GROUPS).encode());
        final RecordedGroup serving = recorded("one", 1, 0);
        machine.apply(new PublishedCommand.FormGroup(serving).encode());
        for (int i = 1; i <= lostGroups; i++) {
            machine.apply(new PublishedCommand.FormGroup(recorded("one", 1 + i, i)).encode());
        }

        assertThat(machine.state().groups().all()).contains(serving);
    }

    private static RecordedGroup recorded(String service, long epoch, int vm) {
        return new RecordedGroup(
                ServiceName.of(service),
                GroupName.of("g" + epoch),
                epoch,
                SimulatedFleet.SMALL.name(),
                ImmutableList.of(RecordedMember.of(
                        new VmIncarnation(VmName.of("vm-" + vm), 1), "10.0.0.1:" + (1_000 + vm), Optional.empty())),
                false);
    }

    private static GroupOrder order(GroupOrderKind kind, SimulatedVm vm, SimulatedVm head, long term) {
        return new GroupOrder(
                kind,
                vm.incarnation,
                "10.0.0.1:1000",
                term,
                head.group,
                head.epoch,
                SimulatedFleet.LARGE.name(),
                ImmutableList.copyOf(head.members));
    }
}
