package org.wigeongrade.decisions.discovery;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.ServiceName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

final class VmRegistryTest {
    private final VmRegistry registry = new VmRegistry();

    @ParameterizedTest
    @CsvSource({
        // incarnation and sequence of the later heartbeat, whether it is recorded after incarnation 10, sequence 5
        "10, 6, true",
        "10, 5, false",
        "10, 4, false",
        "11, 1, true",
        "9, 99, false",
    })
    void acceptsOnlyNewerHeartbeatsOfVm(long incarnation, long sequence, boolean accepted) {
        registry.recordHeartbeat(heartbeat("a", 10, 5, "10.0.0.1:80"), 0);

        assertThat(registry.recordHeartbeat(heartbeat("a", incarnation, sequence, "10.0.0.1:80"), 1))
                .isEqualTo(accepted);
    }

    @Test
    void newerVmAtAddressEndsOlderOne() {
        registry.recordHeartbeat(heartbeat("old", 10, 1, "10.0.0.1:80"), 0);
        registry.recordHeartbeat(heartbeat("new", 20, 1, "10.0.0.1:80"), 1);

        assertThat(registry.find(VmName.of("old")).orElseThrow().ended()).isTrue();
        assertThat(registry.recordHeartbeat(heartbeat("old", 10, 2, "10.0.0.1:80"), 2))
                .isFalse();
        assertThat(registry.find(VmName.of("new")).orElseThrow().ended()).isFalse();
    }

    @Test
    void lateHeartbeatDoesNotReviveDepartedVm() {
        registry.recordHeartbeat(heartbeat("a", 10, 5, "10.0.0.1:80"), 0);
        registry.markDeparted(new VmIncarnation(VmName.of("a"), 10));

        assertThat(registry.recordHeartbeat(heartbeat("a", 10, 6, "10.0.0.1:80"), 1))
                .isFalse();
        assertThat(registry.find(VmName.of("a")).orElseThrow().isStaying()).isFalse();
        assertThat(registry.recordHeartbeat(heartbeat("a", 11, 1, "10.0.0.1:80"), 2))
                .isTrue();
    }

    @ParameterizedTest
    @CsvSource({
        // incarnation that deregisters, whether incarnation 10 has departed then
        "9, false",
        "10, true",
        "11, true",
    })
    void deregistrationEndsTheUseOfItsIncarnationAndEarlierOnes(long incarnation, boolean departed) {
        registry.recordHeartbeat(heartbeat("a", 10, 5, "10.0.0.1:80"), 0);
        registry.markDeparted(new VmIncarnation(VmName.of("a"), incarnation));

        assertThat(registry.find(VmName.of("a")).orElseThrow().departed()).isEqualTo(departed);
    }

    @Test
    void removesVmsWithoutRecentHeartbeat() {
        registry.recordHeartbeat(heartbeat("a", 10, 5, "10.0.0.1:80"), 0);

        assertThat(registry.records(59_000_000_000L)).hasSize(1);
        assertThat(registry.records(61_000_000_000L)).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({
        // incarnation and sequence of the next heartbeat, whether the VM then stays
        "10, 6, false",
        "11, 1, true",
    })
    void incarnationThatLeavesStaysLeaving(long incarnation, long sequence, boolean staying) {
        registry.recordHeartbeat(heartbeat("a", 10, 5, "10.0.0.1:80"), 0);

        assertThat(registry.markLeaving(new VmIncarnation(VmName.of("a"), 9))).isFalse();
        assertThat(registry.markLeaving(new VmIncarnation(VmName.of("a"), 10))).isTrue();
        assertThat(registry.markLeaving(new VmIncarnation(VmName.of("a"), 10))).isFalse();
        assertThat(registry.recordHeartbeat(heartbeat("a", incarnation, sequence, "10.0.0.1:80"), 1))
                .isTrue();
        assertThat(registry.find(VmName.of("a")).orElseThrow().isStaying()).isEqualTo(staying);
    }

    private static VmHeartbeat heartbeat(String vm, long incarnation, long sequence, String address) {
        return new VmHeartbeat(
                new VmIncarnation(VmName.of(vm), incarnation),
                sequence,
                ServiceName.of("pool"),
                address,
                AvailabilityZone.of("zone-a"),
                "v1",
                18,
                false,
                0,
                Optional.empty(),
                Set.of(),
                Optional.empty(),
                Optional.empty());
    }
}
