package org.wigeongrade.callers;

import java.util.concurrent.Phaser;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.wigeongrade.metrics.Metrics;

/**
 * Counts the requests in flight, so that a graceful stop can wait until all have ended.
 *
 * <p>Thread safe.
 */
public final class InFlightRequests {
    private final Phaser phaser = new Phaser(1);
    private final Metrics metrics;

    public InFlightRequests(Metrics metrics) {
        this.metrics = metrics;
    }

    void requestStarted() {
        phaser.register();
        metrics.incrementInFlight();
    }

    void requestEnded() {
        phaser.arriveAndDeregister();
        metrics.decrementInFlight();
    }

    /** Returns the number of requests in flight. */
    public int count() {
        return phaser.getRegisteredParties() - 1;
    }

    /** Waits until no request is in flight; returns false if some still are after {@code timeoutMs}. */
    public boolean awaitNone(long timeoutMs) throws InterruptedException {
        final int phase = phaser.arrive();
        try {
            phaser.awaitAdvanceInterruptibly(phase, timeoutMs, TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException expired) {
            return false;
        }
    }
}
