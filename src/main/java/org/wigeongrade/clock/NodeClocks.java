package org.wigeongrade.clock;

import java.util.function.LongSupplier;

/** The clocks of one process. Safe for use from any thread. */
public record NodeClocks(WaitClock waitClock, LeaseClock leaseClock) {
    /** Returns the clocks of the JVM. */
    public static NodeClocks system() {
        return new NodeClocks(System::nanoTime, new SuspendAwareClock());
    }

    /**
     * Returns clocks that read the given sources.
     *
     * @param epochNanos the time of day, in nanoseconds since the epoch
     */
    public static NodeClocks of(WaitClock monotonic, LongSupplier epochNanos) {
        return new NodeClocks(monotonic, new SuspendAwareClock(monotonic, epochNanos));
    }
}
