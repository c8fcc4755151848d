package org.wigeongrade.bench;

import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.limits.ShareKey;
import org.wigeongrade.ids.EndpointId;

/**
 * An endpoint of {@link ShareSimulation}; counts its requests in flight and tracks when it turned cold. Not
 * thread-safe.
 */
final class SimulatedEndpoint {
    /** Duration of the serving lease after an announcement, in nanoseconds. */
    static final long SERVING_LEASE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final int RESPONSES_TO_WARM_UP = 6;

    final EndpointId id;
    final ShareKey key;
    private final int capacity;
    private final int coldCapacity;
    private int inFlight;
    private int highestInFlight;
    private boolean cold;
    private long coldSinceNanos;
    private long servingDeadlineNanos;
    private int responsesUntilWarm;

    SimulatedEndpoint(int number, int capacity, int coldCapacity) {
        this.id = EndpointId.of("endpoint-" + number);
        this.key = ShareKey.endpointSlots(id);
        this.capacity = capacity;
        this.coldCapacity = coldCapacity;
    }

    int inFlight() {
        return inFlight;
    }

    int highestInFlight() {
        return highestInFlight;
    }

    boolean isCold() {
        return cold;
    }

    boolean isColdLongerThan(long spanNanos, long nowNanos) {
        return cold && nowNanos - coldSinceNanos > spanNanos;
    }

    boolean isOverCapacity() {
        return inFlight > capacity;
    }

    boolean isOverColdCapacity() {
        return inFlight > coldCapacity;
    }

    /** Extends the serving lease, as the leader does when it receives an announcement. */
    void extendServingLease(long nowNanos) {
        servingDeadlineNanos = nowNanos + SERVING_LEASE_NANOS;
    }

    boolean isServing(long nowNanos) {
        return nowNanos < servingDeadlineNanos;
    }

    void turnCold(long nowNanos) {
        cold = true;
        coldSinceNanos = nowNanos;
        responsesUntilWarm = RESPONSES_TO_WARM_UP;
    }

    void begin() {
        inFlight++;
        highestInFlight = Math.max(highestInFlight, inFlight);
    }

    void end() {
        inFlight--;
        if (cold && --responsesUntilWarm <= 0) {
            cold = false;
        }
    }
}
