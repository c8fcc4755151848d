package org.wigeongrade.clock;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SuspendAwareClockTest {
    private final AtomicLong monotonicNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(1));
    private final AtomicLong epochNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(1_000));
    private final SuspendAwareClock clock = new SuspendAwareClock(monotonicNanos::get, epochNanos::get);

    @ParameterizedTest
    @CsvSource({
        // elapsed time on the monotonic clock, the wall clock and the clock under test, in milliseconds
        "100, 100, 100",
        "100, 5100, 5100",
        "100, 250, 250",
        "100, 101, 101",
        "100, 99, 100",
        "100, -2300, 100",
        "0, 2400, 2400",
    })
    void countsEveryForwardJumpOfTheWallClock(long monotonicMs, long wallMs, long expectedMs) {
        final LeaseTime start = clock.now();
        advance(monotonicMs, wallMs);

        assertThat(sinceMs(start)).isEqualTo(expectedMs);
        assertThat(sinceMs(start)).isEqualTo(expectedMs);
    }

    @ParameterizedTest
    @CsvSource({
        // steps of the wall clock in milliseconds, and what the clock under test counts of them
        "190, 5, 950",
        "1, 100, 100",
        "-190, 5, 0",
    })
    void countsAllOfASeriesOfSteps(long stepMs, int steps, long expectedMs) {
        final LeaseTime start = clock.now();
        for (int i = 0; i < steps; i++) {
            advance(0, stepMs);
            final LeaseTime unused = clock.now();
        }

        assertThat(sinceMs(start)).isEqualTo(expectedMs);
    }

    // A wall clock that was set back before a suspension must not hide a part of it.
    @ParameterizedTest
    @CsvSource({"-50, 50", "-190, 190", "-2300, 5000"})
    void countsAWholeSuspensionAfterAStepBack(long stepMs, long suspendedMs) {
        final LeaseTime start = clock.now();
        advance(0, stepMs);
        final LeaseTime unused = clock.now();
        advance(0, suspendedMs);

        assertThat(sinceMs(start)).isEqualTo(suspendedMs);
    }

    // Readings that take time, as on a busy processor, must neither hide a suspension nor add up to one.
    @ParameterizedTest
    @CsvSource({"3, 0, 0", "3, 700, 703"})
    void slowReadingsAreNoSuspension(long readingMs, long suspendedMs, long maxMs) {
        final AtomicLong slowNanos = new AtomicLong();
        final long stepNanos = TimeUnit.MILLISECONDS.toNanos(readingMs);
        final AtomicLong hiddenNanos = new AtomicLong();
        final SuspendAwareClock slow =
                new SuspendAwareClock(() -> slowNanos.addAndGet(stepNanos), () -> slowNanos.get() + hiddenNanos.get());
        final LeaseTime start = slow.now();
        final long startNanos = slowNanos.get();
        hiddenNanos.set(TimeUnit.MILLISECONDS.toNanos(suspendedMs));
        for (int i = 0; i < 100; i++) {
            final LeaseTime unused = slow.now();
        }
        final LeaseTime end = slow.now();

        final long countedMs = TimeUnit.NANOSECONDS.toMillis(end.nanosSince(start) - (slowNanos.get() - startNanos));
        assertThat(countedMs).isAtLeast(suspendedMs);
        assertThat(countedMs).isAtMost(maxMs);
    }

    private void advance(long monotonicMs, long wallMs) {
        monotonicNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(monotonicMs));
        epochNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(wallMs));
    }

    private long sinceMs(LeaseTime start) {
        return TimeUnit.NANOSECONDS.toMillis(clock.now().nanosSince(start));
    }
}
