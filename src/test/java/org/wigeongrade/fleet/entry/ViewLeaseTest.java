package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.clock.NodeClocks;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.nodes.entry.EntryRole;

/** The leases of an entry node on its view, on both request paths, when its time of day is set or its VM is suspended. */
final class ViewLeaseTest {
    /** How far the time of day has advanced beyond the monotonic clock. */
    private final AtomicLong aheadNanos = new AtomicLong();

    private final NodeClocks clocks = NodeClocks.of(System::nanoTime, () -> System.nanoTime() + aheadNanos.get());

    // After a suspension, a node sent requests with keys that had been revoked meanwhile.
    @ParameterizedTest
    @CsvSource({
        "0, 0, true, true",
        "-60000, 0, true, true",
        "0, 3000, true, false",
        "0, 6000, false, false",
        "-60000, 6000, false, false",
        "60000, 0, false, false",
        "-100, 6000, false, false",
    })
    void viewOfFleetNodeAgesDuringASuspension(long stepMs, long suspendedMs, boolean keysFresh, boolean current) {
        try (SharedEventLoop loop = new SharedEventLoop()) {
            final EndpointRegistry registry = new EndpointRegistry(
                    new EventLog(),
                    new Metrics(),
                    60_000,
                    1_200,
                    clocks.leaseClock().now(),
                    clocks.waitClock().nowNanos());
            final LeaseTime pullSent = clocks.leaseClock().now();
            registry.apply(
                    EntryFixture.view(EntryFixture.configuration(), Map.of(), List.of(), pullSent.nanos()),
                    clocks.waitClock().nowNanos());
            final EntryServices services = EntryFixture.services(loop, registry);
            change(stepMs, suspendedMs);

            assertThat(services.keysAreFresh(clocks.leaseClock().now())).isEqualTo(keysFresh);
            assertThat(services.viewIsCurrent(clocks.leaseClock().now())).isEqualTo(current);
        }
    }

    // On the own interface, a view lease was counted on a clock that stands still during a suspension.
    @ParameterizedTest
    @CsvSource({"0, 0, true", "0, 4000, false", "-60000, 4000, false", "-60000, 0, true", "4000, 0, false"})
    void viewLeaseOfOwnInterfaceEndsDuringASuspension(long stepMs, long suspendedMs, boolean held) {
        final EntryRole entry = new EntryRole(
                NodeName.of("entry-1"),
                AvailabilityZone.of("zone-a"),
                "127.0.0.1:1",
                200,
                clocks.waitClock(),
                clocks.leaseClock());
        final LeaseTime deadline = entry.leaseNow().plusNanos(TimeUnit.SECONDS.toNanos(3));
        change(stepMs, suspendedMs);

        assertThat(!deadline.hasPassed(entry.leaseNow())).isEqualTo(held);
    }

    private void change(long stepMs, long suspendedMs) {
        aheadNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(stepMs));
        final LeaseTime unused = clocks.leaseClock().now();
        aheadNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(suspendedMs));
    }
}
