package org.wigeongrade.clock;

import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A {@link LeaseClock} that adds to the monotonic clock each advance of the time of day relative to it.
 *
 * <p>The monotonic clock stops while the VM is suspended, but the time of day does not. A step of the time of day forward
 * looks the same and ends leases early. A step backward is ignored; one that happens during a suspension hides as much
 * of it.
 *
 * <p>Invariant: {@code minOffsetNanos <= maxOffsetNanos}; the offset of the time of day from the monotonic clock was
 * between them at the last reading. The clocks cannot be read at the same moment, so that only offsets outside of these
 * bounds show a change, and the largest change that the readings allow is counted. Thread safe.
 */
public final class SuspendAwareClock implements LeaseClock {
    private final WaitClock monotonic;
    private final LongSupplier epochNanos;
    private long minOffsetNanos;
    private long maxOffsetNanos;
    private long suspendedNanos;

    public SuspendAwareClock() {
        this(System::nanoTime, SuspendAwareClock::systemEpochNanos);
    }

    /**
     * Creates a clock that reads the given sources.
     *
     * @param epochNanos the time of day, in nanoseconds since the epoch
     */
    SuspendAwareClock(WaitClock monotonic, LongSupplier epochNanos) {
        this.monotonic = monotonic;
        this.epochNanos = epochNanos;
        final long beforeNanos = monotonic.nowNanos();
        final long epoch = epochNanos.getAsLong();
        this.minOffsetNanos = epoch - monotonic.nowNanos();
        this.maxOffsetNanos = epoch - beforeNanos;
    }

    private static long systemEpochNanos() {
        final Instant now = Instant.now();
        return TimeUnit.SECONDS.toNanos(now.getEpochSecond()) + now.getNano();
    }

    @Override
    public synchronized LeaseTime now() {
        final long beforeNanos = monotonic.nowNanos();
        final long epoch = epochNanos.getAsLong();
        final long afterNanos = monotonic.nowNanos();
        recordOffset(epoch - afterNanos, epoch - beforeNanos);
        return new LeaseTime(afterNanos + suspendedNanos);
    }

    private void recordOffset(long minNanos, long maxNanos) {
        final boolean increased = minNanos > maxOffsetNanos;
        final boolean decreased = maxNanos < minOffsetNanos;
        if (increased) {
            suspendedNanos += maxNanos - minOffsetNanos;
        }
        if (increased || decreased) {
            minOffsetNanos = minNanos;
            maxOffsetNanos = maxNanos;
        } else {
            minOffsetNanos = Math.max(minOffsetNanos, minNanos);
            maxOffsetNanos = Math.min(maxOffsetNanos, maxNanos);
        }
    }
}
