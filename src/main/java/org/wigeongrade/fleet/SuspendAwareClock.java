package org.wigeongrade.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock, in nanoseconds, that also counts the time for which the VM was suspended.
 *
 * <p>The steady clock stands still while a VM is suspended, the time of day does not. A jump of the time of day against the
 * steady clock counts as a suspension, so that a lease ends too early rather than too late; a jump back counts for
 * nothing. Invariant: never goes back. Thread safe.
 */
public final class SuspendAwareClock implements LongSupplier {
    /** A smaller difference is taken for drift of the clocks. */
    private static final long SMALLEST_JUMP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LongSupplier steadyNanos;
    private final LongSupplier epochMs;
    private long wallMinusSteadyNanos;
    private long suspendedNanos;

    public SuspendAwareClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    SuspendAwareClock(LongSupplier steadyNanos, LongSupplier epochMs) {
        this.steadyNanos = steadyNanos;
        this.epochMs = epochMs;
        this.wallMinusSteadyNanos = difference(steadyNanos.getAsLong());
    }

    @Override
    public synchronized long getAsLong() {
        final long steady = steadyNanos.getAsLong();
        final long difference = difference(steady);
        final long jumpNanos = difference - wallMinusSteadyNanos;
        if (jumpNanos > SMALLEST_JUMP_NANOS) {
            suspendedNanos += jumpNanos;
            wallMinusSteadyNanos = difference;
        } else if (jumpNanos < -SMALLEST_JUMP_NANOS) {
            wallMinusSteadyNanos = difference;
        }
        return steady + suspendedNanos;
    }

    private long difference(long steady) {
        return TimeUnit.MILLISECONDS.toNanos(epochMs.getAsLong()) - steady;
    }
}
