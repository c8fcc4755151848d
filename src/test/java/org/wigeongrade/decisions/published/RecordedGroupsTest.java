package org.wigeongrade.decisions.published;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class RecordedGroupsTest {
    private static final Splitter COMMANDS = Splitter.on(' ');

    /** A VM was a member of two recorded groups, or a leader that had been replaced removed a group of its successor. */
    @ParameterizedTest
    @CsvSource({
        // commands: epoch and members of a group that is formed, or epoch of one that ends; epochs that remain
        "1:a+b, 1",
        "1:a+b 2:c+d, 1 2",
        "1:a+b 1:a+b, 1",
        "1:a+b 2:b+c, 2",
        "1:a+b 2:c+d 3:b+c, 3",
        "2:b+c 1:a+b, 2",
        "2:b+c 1:a+d, 2 1",
        "1:a+b 1, ''",
        "1:a+b 2, 1",
        "1:a+b 2:c+d 1, 2",
    })
    void holdsEachVmInOneGroup(String commands, String expected) {
        final PublishedStateMachine machine = machine(CommandFormat.GROUPS);
        COMMANDS.split(commands)
                .forEach(command -> machine.apply(toCommand(command).encode()));

        assertThat(epochs(machine)).isEqualTo(expected);
    }

    /** A control VM that starts from a snapshot knew no group, or an older build could not read the snapshot. */
    @ParameterizedTest
    @ValueSource(ints = {CommandFormat.BASE, CommandFormat.WITHDRAWALS, CommandFormat.GROUPS})
    void snapshotHoldsGroupsOnlyInFormatsThatKnowThem(int format) {
        final PublishedStateMachine machine = machine(format);
        machine.apply(toCommand("1:a+b").encode());
        final PublishedStateMachine restored = new PublishedStateMachine();
        restored.restore(machine.snapshot());

        assertThat(epochs(restored)).isEqualTo(format >= CommandFormat.GROUPS ? "1" : "");
        assertThat(restored.state().groups().all())
                .containsExactlyElementsIn(
                        format >= CommandFormat.GROUPS
                                ? machine.state().groups().all()
                                : List.of());
    }

    private static PublishedStateMachine machine(int format) {
        final PublishedStateMachine machine = new PublishedStateMachine();
        machine.apply(new PublishedCommand.UseFormat(format).encode());
        return machine;
    }

    private static String epochs(PublishedStateMachine machine) {
        return String.join(
                " ",
                machine.state().groups().all().stream()
                        .map(group -> String.valueOf(group.epoch()))
                        .toList());
    }

    private static PublishedCommand toCommand(String text) {
        final List<String> parts = Splitter.on(':').splitToList(text);
        final long epoch = Long.parseLong(parts.get(0));
        final ServiceName service = ServiceName.of("pool");
        final GroupName name = GroupName.of("g" + epoch);
        return parts.size() == 1
                ? new PublishedCommand.EndGroup(new RecordedGroup.Key(service, name, epoch))
                : new PublishedCommand.FormGroup(new RecordedGroup(
                        service,
                        name,
                        epoch,
                        ModelVersionName.of("large"),
                        Splitter.on('+').splitToList(parts.get(1)).stream()
                                .map(vm -> RecordedMember.of(
                                        new VmIncarnation(VmName.of(vm), epoch), "10.0.0.1:80", Optional.empty()))
                                .toList(),
                        false));
    }
}
