package org.wigeongrade.bench;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/** Delivers messages with random delays, so that they may arrive out of order, and loses some. Not thread-safe. */
final class SimulatedNetwork {
    private static final long MAX_USUAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(3);
    static final long MAX_LATE_DELAY_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final double LOSS_RATIO = 0.05;
    private static final double LATE_RATIO = 0.05;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final boolean faults;

    SimulatedNetwork(VirtualTime time, RandomGenerator random, boolean faults) {
        this.time = time;
        this.random = random;
        this.faults = faults;
    }

    /** Delivers a message that may be delayed or lost. */
    void send(Runnable delivery) {
        if (faults && random.nextDouble() < LOSS_RATIO) {
            return;
        }
        sendReliably(delivery);
    }

    /** Delivers a message that may be delayed but is never lost. */
    void sendReliably(Runnable delivery) {
        boolean late = faults && random.nextDouble() < LATE_RATIO;
        time.after(1 + random.nextLong(late ? MAX_LATE_DELAY_NANOS : MAX_USUAL_DELAY_NANOS), delivery);
    }
}
