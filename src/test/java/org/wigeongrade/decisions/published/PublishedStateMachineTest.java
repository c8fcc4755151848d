package org.wigeongrade.decisions.published;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.log.Bytes;
import org.wigeongrade.ids.AvailabilityZone;

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

    private PublishOutcome publish(long version, String document) {
        final Bytes bytes = Bytes.wrap(document.getBytes(StandardCharsets.UTF_8));
        return PublishedStateMachine.decodeOutcome(
                machine.apply(new PublishedCommand.Publish(version, bytes).encode()));
    }

    private static String document(PublishedStateMachine machine) {
        return new String(machine.state().document().orElseThrow(), StandardCharsets.UTF_8);
    }
}
