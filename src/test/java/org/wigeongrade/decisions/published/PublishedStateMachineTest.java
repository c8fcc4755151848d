package org.wigeongrade.decisions.published;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.discovery.VmWithdrawal;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class PublishedStateMachineTest {
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
    private final PublishedStateMachine machine = new PublishedStateMachine();

    @ParameterizedTest
    @CsvSource({
        "8, new, IN_FORCE, 8, new",
        "7, held, UNCHANGED, 7, held",
        "7, other, VERSION_TAKEN, 7, held",
        "6, old, UNCHANGED, 7, held",
    })
    void highestVersionWins(
            long version, String document, PublishOutcome outcome, long versionInForce, String documentInForce) {
        publish(7, "held");

        assertThat(publish(version, document)).isEqualTo(outcome);
        assertThat(machine.state().version()).isEqualTo(versionInForce);
        assertThat(document(machine)).isEqualTo(documentInForce);
    }

    @Test
    void publishingKeepsZonesOut() {
        machine.apply(new PublishedCommand.SetZone(ZONE, true).encode());
        publish(1, "one");

        assertThat(machine.state().zonesOut()).containsExactly(ZONE);
        machine.apply(new PublishedCommand.SetZone(ZONE, false).encode());
        assertThat(machine.state().zonesOut()).isEmpty();
    }

    @Test
    void snapshotRestoresEverything() {
        publish(3, "three");
        machine.apply(new PublishedCommand.SetZone(ZONE, true).encode());
        final PublishedStateMachine other = new PublishedStateMachine();
        other.restore(machine.snapshot());

        assertThat(other.state().version()).isEqualTo(3);
        assertThat(document(other)).isEqualTo("three");
        assertThat(other.state().zonesOut()).containsExactly(ZONE);
    }

    @ParameterizedTest
    @CsvSource({
        // incarnation and sequence of the latest heartbeat of a VM that left as 20, with heartbeat 5
        "20, 4, true",
        "20, 5, true",
        "20, 6, false",
        "19, 9, true",
        "21, 1, false",
    })
    void withdrawalCoversHeartbeatsUpToItsOwn(long incarnation, long sequence, boolean withdrawn) {
        withdraw("a", 20, 5);
        withdraw("a", 18, 7);

        assertThat(isWithdrawn("a", incarnation, sequence)).isEqualTo(withdrawn);
        assertThat(isWithdrawn("b", incarnation, sequence)).isFalse();
    }

    /** The state grew with each VM that ever left, or forgot one that had just left. */
    @Test
    void oldestWithdrawalsAreDropped() {
        for (int vm = 0; vm < 3_000; vm++) {
            withdraw("vm-" + vm, 1, 1);
        }
        assertThat(machine.state().withdrawals()).hasSize(2_048);
        assertThat(isWithdrawn("vm-2999", 1, 1)).isTrue();
        assertThat(isWithdrawn("vm-0", 1, 1)).isFalse();
    }

    @Test
    void snapshotRestoresWithdrawals() {
        machine.apply(new PublishedCommand.UseFormat(CommandFormat.WITHDRAWALS).encode());
        withdraw("a", 20, 5);
        final PublishedStateMachine other = new PublishedStateMachine();
        other.restore(machine.snapshot());

        assertThat(other.state().format()).isEqualTo(CommandFormat.WITHDRAWALS);
        assertThat(other.state().isWithdrawn(withdrawal("a", 20, 5))).isTrue();
        assertThat(other.snapshot()).isEqualTo(machine.snapshot());
    }

    /** A build of the base format ends if a snapshot has fields that it does not know. */
    @Test
    void snapshotOfTheBaseFormatIsThatOfOlderBuilds() {
        publish(3, "three");
        final String snapshot = "{\"version\":3,\"document\":\"dGhyZWU=\",\"zonesOut\":[]}";

        assertThat(new String(machine.snapshot(), StandardCharsets.UTF_8)).isEqualTo(snapshot);
        final PublishedStateMachine other = new PublishedStateMachine();
        other.restore(snapshot.getBytes(StandardCharsets.UTF_8));
        assertThat(other.state().format()).isEqualTo(CommandFormat.BASE);
    }

    private void withdraw(String vm, long incarnation, long sequence) {
        machine.apply(new PublishedCommand.Withdraw(withdrawal(vm, incarnation, sequence)).encode());
    }

    private boolean isWithdrawn(String vm, long incarnation, long sequence) {
        return machine.state().isWithdrawn(withdrawal(vm, incarnation, sequence));
    }

    private static VmWithdrawal withdrawal(String vm, long incarnation, long sequence) {
        return new VmWithdrawal(new VmIncarnation(VmName.of(vm), incarnation), sequence);
    }

    private PublishOutcome publish(long version, String document) {
        final Bytes bytes = Bytes.wrap(document.getBytes(StandardCharsets.UTF_8));
        return PublishedStateMachine.decodeOutcome(
                machine.apply(new PublishedCommand.Publish(version, bytes).encode()));
    }

    private static String document(PublishedStateMachine machine) {
        return new String(machine.state().document().orElseThrow(), StandardCharsets.UTF_8);
    }
}
