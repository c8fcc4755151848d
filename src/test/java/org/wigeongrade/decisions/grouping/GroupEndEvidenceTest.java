package org.wigeongrade.decisions.grouping;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.VmName;

/** Checks that a group that ends, and each VM that it frees, is reported with the evidence that its head has stopped. */
final class GroupEndEvidenceTest {
    private static final long LOADED_MS = 60_000;
    private static final long REPAIRED_MS = 12_000;

    private enum Trouble {
        LEAVING_MEMBER(GroupEndEvidence.HEAD_LEFT) {
            @Override
            void inflict(SimulatedFleet fleet, SimulatedVm head) {
                fleet.memberOf(head).draining = true;
            }
        },
        CUT_HEAD(GroupEndEvidence.STALL_TIME_PASSED) {
            @Override
            void inflict(SimulatedFleet fleet, SimulatedVm head) {
                head.partitioned = true;
            }
        },
        RESTARTED_HEAD(GroupEndEvidence.HEAD_REPLACED) {
            @Override
            void inflict(SimulatedFleet fleet, SimulatedVm head) {
                fleet.restart(head);
            }
        };

        private final GroupEndEvidence expected;

        Trouble(GroupEndEvidence expected) {
            this.expected = expected;
        }

        abstract void inflict(SimulatedFleet fleet, SimulatedVm head);
    }

    /** The logs of an incident did not say why the leader took a member of a serving group for free. */
    @ParameterizedTest
    @EnumSource
    void endOfAGroupAndUseOfItsVmsNameTheirEvidence(Trouble trouble) {
        final SimulatedFleet fleet = new SimulatedFleet(6, 8, 1);
        fleet.run(LOADED_MS);
        final SimulatedVm head = fleet.anyHead();
        final GroupName group = head.group;
        final List<VmName> members = head.members;
        fleet.changes.clear();
        fleet.taken.clear();
        trouble.inflict(fleet, head);
        fleet.run(REPAIRED_MS);

        assertThat(fleet.changes.stream()
                        .filter(change -> change.group().equals(group))
                        .flatMap(change -> change.evidence().stream())
                        .toList())
                .containsExactly(trouble.expected);
        assertThat(fleet.taken.stream()
                        .filter(taken -> members.contains(taken.vm().vm()))
                        .map(SimulatedFleet.VmTaken::endedGroup)
                        .toList())
                .contains(Optional.of(trouble.expected));
    }
}
