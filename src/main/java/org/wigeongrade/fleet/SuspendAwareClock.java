package org.wigeongrade.fleet;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * A monotonic clock, in nanoseconds, that includes the time for which the VM was suspended.
 *
 * <p>The JVM's monotonic clock stops while a VM is suspended, but the wall clock does not. If the wall clock jumps
 * forward relative to the monotonic clock, the jump counts as a suspension, so that a lease ends too early rather than
 * too late; a backward jump is ignored. Invariant: the returned time never decreases. Thread safe.
 */
public final class SuspendAwareClock implements LongSupplier {
    /** Smaller changes of the offset are treated as clock drift. */
    private static final long MIN_JUMP_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private final LongSupplier monotonicNanos;
    private final LongSupplier epochMs;
    private long lastOffsetNanos;
    private long suspendedNanos;

    public SuspendAwareClock() {
        this(System::nanoTime, System::currentTimeMillis);
    }

    SuspendAwareClock(LongSupplier monotonicNanos, LongSupplier epochMs) {
        this.monotonicNanos = monotonicNanos;
        this.epochMs = epochMs;
        this.lastOffsetNanos = offsetNanos(monotonicNanos.getAsLong());
    }

    @Override
    public synchronized long getAsLong() {
        final long monotonic = monotonicNanos.getAsLong();
        final long offset = offsetNanos(monotonic);
        final long jumpNanos = offset - lastOffsetNanos;
        if (jumpNanos > MIN_JUMP_NANOS) {
            suspendedNanos += jumpNanos;
            lastOffsetNanos = offset;
        } else if (jumpNanos < -MIN_JUMP_NANOS) {
            lastOffsetNanos = offset;
        }
        return monotonic + suspendedNanos;
    }

    private long offsetNanos(long monotonic) {
        return TimeUnit.MILLISECONDS.toNanos(epochMs.getAsLong()) - monotonic;
    }
}
