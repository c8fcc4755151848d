package org.wigeongrade.platform.soak;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Checks that all entry nodes together keep to the limit that an endpoint states, from three seconds after it first
 * stated it. Requests of a node that was disturbed since it heard of the limit do not count. Thread safe.
 */
final class StatedLimitChecker {
    private static final long TIME_TO_LEARN_NANOS = TimeUnit.SECONDS.toNanos(3);
    /** Time after which a node must have heeded what it heard. */
    private static final long HEARD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final double WINDOW_S = 4;
    private static final long WINDOW_NANOS = (long) (WINDOW_S * 1e9);
    private static final double BURST_FACTOR = 1.5;
    private static final int MARGIN = 5;

    private record Arrival(int entry, long nanos) {}

    private static final class Limit {
        private final double requestsPerSecond;
        private final long firstStatedNanos;
        private final Map<Integer, Long> heardNanos = new HashMap<>();
        private final Deque<Arrival> arrivals = new ArrayDeque<>();

        Limit(double requestsPerSecond, long firstStatedNanos) {
            this.requestsPerSecond = requestsPerSecond;
            this.firstStatedNanos = firstStatedNanos;
        }
    }

    private final GuaranteeChecker guarantees;
    private final Map<String, Limit> byVm = new HashMap<>();

    StatedLimitChecker(GuaranteeChecker guarantees) {
        this.guarantees = guarantees;
    }

    /** Records that the response to a request states a limit. */
    synchronized void recordStated(String attempt, String vm, double requestsPerSecond) {
        final long nowNanos = System.nanoTime();
        byVm.computeIfAbsent(vm, unused -> new Limit(requestsPerSecond, nowNanos))
                .heardNanos
                .putIfAbsent(SendRestrictionChecker.entryOf(attempt), nowNanos);
    }

    synchronized void recordLifted(String vm) {
        byVm.remove(vm);
    }

    /** Forgets what an entry node heard, because a fault affects it. */
    synchronized void excuse(int entry) {
        byVm.values().forEach(limit -> {
            limit.heardNanos.remove(entry);
            limit.arrivals.removeIf(arrival -> arrival.entry() == entry);
        });
    }

    /** Checks a request that arrived at an endpoint. */
    synchronized void recordArrival(String attempt, String vm) {
        final long nowNanos = System.nanoTime();
        final Limit limit = byVm.get(vm);
        if (limit == null || nowNanos - limit.firstStatedNanos < TIME_TO_LEARN_NANOS) {
            return;
        }
        final int entry = SendRestrictionChecker.entryOf(attempt);
        final Long heardNanos = limit.heardNanos.get(entry);
        if (heardNanos == null || nowNanos - heardNanos < HEARD_NANOS) {
            return;
        }
        limit.arrivals.addLast(new Arrival(entry, nowNanos));
        limit.arrivals.removeIf(arrival -> nowNanos - arrival.nanos() > WINDOW_NANOS);
        if (limit.arrivals.size() > BURST_FACTOR * limit.requestsPerSecond * WINDOW_S + MARGIN) {
            guarantees.reportViolation(
                    "an endpoint's limit is kept",
                    vm + " takes " + limit.requestsPerSecond + " requests a second and got " + limit.arrivals.size()
                            + " within 4 s, the last one " + attempt);
        }
    }
}
