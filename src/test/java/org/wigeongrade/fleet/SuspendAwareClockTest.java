package org.wigeongrade.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SuspendAwareClockTest {
    @ParameterizedTest
    @CsvSource({
        // elapsed time on the monotonic clock, the wall clock and the clock under test, in milliseconds
        "100, 100, 100",
        "100, 5100, 5100",
        "100, 250, 100",
        "100, -2300, 100",
        "0, 2400, 2400",
    })
    void countsOnlyForwardJumpsOfTheWallClock(long monotonicMs, long wallMs, long expectedMs) {
        final AtomicLong monotonicNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(1));
        final AtomicLong epochMs = new AtomicLong(1_000_000);
        final SuspendAwareClock clock = new SuspendAwareClock(monotonicNanos::get, epochMs::get);
        final long startNanos = clock.getAsLong();
        monotonicNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(monotonicMs));
        epochMs.addAndGet(wallMs);

        assertThat(TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - startNanos))
                .isEqualTo(expectedMs);
        assertThat(TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - startNanos))
                .isEqualTo(expectedMs);
    }
}
