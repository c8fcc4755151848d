package org.wigeongrade.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SuspendAwareClockTest {
    @ParameterizedTest
    @CsvSource({
        // steady clock, time of day and what this clock shows for it, in milliseconds
        "100, 100, 100",
        "100, 5100, 5100",
        "100, 250, 100",
        "100, -2300, 100",
        "0, 2400, 2400",
    })
    void countsJumpsOfTheTimeOfDayForwardOnly(long steadyMs, long wallMs, long shownMs) {
        final AtomicLong steadyNanos = new AtomicLong(TimeUnit.SECONDS.toNanos(1));
        final AtomicLong epochMs = new AtomicLong(1_000_000);
        final SuspendAwareClock clock = new SuspendAwareClock(steadyNanos::get, epochMs::get);
        final long startNanos = clock.getAsLong();
        steadyNanos.addAndGet(TimeUnit.MILLISECONDS.toNanos(steadyMs));
        epochMs.addAndGet(wallMs);

        assertThat(TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - startNanos))
                .isEqualTo(shownMs);
        assertThat(TimeUnit.NANOSECONDS.toMillis(clock.getAsLong() - startNanos))
                .isEqualTo(shownMs);
    }
}
