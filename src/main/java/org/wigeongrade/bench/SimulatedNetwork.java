package org.wigeongrade.bench;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Delivers messages late, out of order or not at all. Not thread-safe. */
final class SimulatedNetwork {
    private static final long USUAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    static final long LONG_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final double LOST_PART = 0.05;
    private static final double LATE_PART = 0.05;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final boolean faults;

    SimulatedNetwork(VirtualTime time, RandomGenerator random, boolean faults) {
        this.time = time;
        this.random = random;
        this.faults = faults;
    }

    /** Delivers a message that may be lost. */
    void send(Runnable delivery) {
        if (faults && random.nextDouble() < LOST_PART) {
            return;
        }
        sendReliably(delivery);
    }

    /** Delivers a message that is never lost, but may be late. */
    void sendReliably(Runnable delivery) {
        boolean late = faults && random.nextDouble() < LATE_PART;
        time.after(1 + random.nextLong(late ? LONG_DELAY_NANOS : USUAL_DELAY_NANOS), delivery);
    }
}
