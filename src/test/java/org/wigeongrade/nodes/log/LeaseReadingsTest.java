package org.wigeongrade.nodes.log;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.clock.NodeClocks;

/** The lease of a leader in true time, whatever its time of day and its VM do. */
final class LeaseReadingsTest {
    private static final long LEASE_MS = 500;
    private static final long TICK_MS = 20;

    private final AtomicLong trueMs = new AtomicLong(1_000_000);
    private final AtomicLong suspendedMs = new AtomicLong();
    private final AtomicLong steppedMs = new AtomicLong();
    private final NodeClocks clocks = NodeClocks.of(
            () -> TimeUnit.MILLISECONDS.toNanos(trueMs.get() - suspendedMs.get()),
            () -> TimeUnit.MILLISECONDS.toNanos(trueMs.get() + steppedMs.get()));
    private final LeaseReadings readings = new LeaseReadings(TimeUnit.MILLISECONDS.toNanos(LEASE_MS));

    // A lease that was counted on the monotonic clock outlasted a suspension, so that two leaders could hold one.
    @ParameterizedTest
    @CsvSource({
        // sends and acknowledges a message at 200 ms; steps and suspensions at the times given, in milliseconds
        "0, 0, 0, 0, true",
        "300, 0, 0, 0, true",
        "300, 0, 0, 600, false",
        "300, 2400, 0, 0, false",
        "300, -2400, 0, 600, false",
        "300, -2400, 2400, 0, false",
        "300, 150, 0, 600, false",
        "300, -150, 0, 600, false",
        "100, 2400, 0, 0, true",
        "100, 0, 0, 5000, true",
        "100, -2400, 0, 5000, true",
    })
    void leaseNeverEndsLate(long changeMs, long stepMs, long laterStepMs, long suspensionMs, boolean heldAfter) {
        final long startMs = trueMs.get();
        long sentNanos = 0;
        long sentTrueMs = 0;
        boolean held = false;
        for (long atMs = 0; atMs <= 400; atMs += TICK_MS) {
            if (atMs == changeMs) {
                steppedMs.addAndGet(stepMs);
                tick();
                suspendedMs.addAndGet(suspensionMs);
                trueMs.addAndGet(suspensionMs);
                tick();
                steppedMs.addAndGet(laterStepMs);
            }
            tick();
            if (atMs == 200) {
                sentNanos = clocks.waitClock().nowNanos();
                sentTrueMs = trueMs.get();
            }
            if (atMs >= 200) {
                held = isHeld(sentNanos);
                assertThat(held && trueMs.get() - sentTrueMs >= LEASE_MS).isFalse();
            }
            trueMs.addAndGet(TICK_MS);
        }
        assertThat(trueMs.get() - startMs).isAtLeast(400);
        assertThat(held).isEqualTo(heldAfter);
    }

    private void tick() {
        final LeaseTime time = clocks.leaseClock().now();
        readings.record(time, clocks.waitClock().nowNanos());
    }

    private boolean isHeld(long sentNanos) {
        return readings.deadlineOf(sentNanos)
                .filter(deadline -> !deadline.hasPassed(clocks.leaseClock().now()))
                .isPresent();
    }
}
