package org.wigeongrade.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.routing.RetryBudget;
import org.wigeongrade.decisions.routing.RouteTarget;
import org.wigeongrade.ids.ServiceName;

/**
 * Endpoints that queue what they cannot run at once, under callers with deadlines and attempts that time out and are
 * retried, in virtual time. An endpoint cannot tell that an attempt was given up and runs it all the same. Not
 * thread-safe.
 */
final class OverloadSimulation {
    private static final int ENDPOINTS = 10;
    private static final int CAPACITY = 8;
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long CALLER_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long COME_BACK_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_ATTEMPTS = 4;
    private static final RouteTarget TARGET = RouteTarget.of(ServiceName.of("service"));

    private final OverloadMechanism mechanism;
    private final double loadFactor;
    private final RandomGenerator random;
    private final VirtualTime time = new VirtualTime();
    private final RetryBudget budget = new RetryBudget(0.1, 10);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private long offered;
    private long attempts;
    private long answeredInTime;
    private long workWasted;

    private static final class Endpoint {
        private final Deque<Attempt> waiting = new ArrayDeque<>();
        private int running;

        int inFlight() {
            return running + waiting.size();
        }
    }

    private static final class Request {
        private final long arrivedNanos;
        private boolean answered;
        private int attempts;

        Request(long arrivedNanos) {
            this.arrivedNanos = arrivedNanos;
        }
    }

    private static final class Attempt {
        private final Request request;
        private boolean givenUp;

        Attempt(Request request) {
            this.request = request;
        }
    }

    OverloadSimulation(OverloadMechanism mechanism, double loadFactor, long seed) {
        this.mechanism = mechanism;
        this.loadFactor = loadFactor;
        this.random = new Random(seed);
        for (int i = 0; i < ENDPOINTS; i++) {
            endpoints.add(new Endpoint());
        }
    }

    OverloadResult run(int virtualSeconds) {
        arriveLater();
        time.runUntil(TimeUnit.SECONDS.toNanos(virtualSeconds));
        double capacityPerSecond = ENDPOINTS * CAPACITY * 1e9 / MEAN_RUN_NANOS;
        double goodput = answeredInTime / (capacityPerSecond * virtualSeconds);
        return new OverloadResult(
                mechanism.name().toLowerCase(Locale.ROOT),
                loadFactor,
                offered,
                answeredInTime,
                rounded(goodput),
                rounded((double) attempts / offered),
                workWasted);
    }

    private static double rounded(double value) {
        return Math.round(value * 1_000) / 1_000.0;
    }

    private long exponential(double meanNanos) {
        return (long) (-Math.log(1 - random.nextDouble()) * meanNanos);
    }

    private void arriveLater() {
        time.after(exponential(MEAN_RUN_NANOS / (loadFactor * ENDPOINTS * CAPACITY)), () -> {
            offered++;
            budget.firstAttempt(TARGET);
            attempt(new Request(time.nowNanos()));
            arriveLater();
        });
    }

    private boolean isTooLate(Request request) {
        return time.nowNanos() - request.arrivedNanos >= CALLER_DEADLINE_NANOS;
    }

    private void attempt(Request request) {
        if (isTooLate(request)) {
            return;
        }
        Endpoint endpoint = lessLoadedOfTwo();
        if (mechanism.hasShares() && endpoint.inFlight() >= CAPACITY) {
            time.after(COME_BACK_NANOS, () -> attempt(request));
            return;
        }
        request.attempts++;
        attempts++;
        Attempt attempt = new Attempt(request);
        endpoint.waiting.add(attempt);
        startWaiting(endpoint);
        time.after(ATTEMPT_TIMEOUT_NANOS, () -> timeOut(attempt));
    }

    private Endpoint lessLoadedOfTwo() {
        Endpoint one = endpoints.get(random.nextInt(endpoints.size()));
        Endpoint other = endpoints.get(random.nextInt(endpoints.size()));
        return one.inFlight() <= other.inFlight() ? one : other;
    }

    private void timeOut(Attempt attempt) {
        Request request = attempt.request;
        if (attempt.givenUp || request.answered) {
            return;
        }
        attempt.givenUp = true;
        boolean allowed = !mechanism.hasRetryBudget() || budget.tryRetry(TARGET);
        if (request.attempts < MAX_ATTEMPTS && allowed) {
            attempt(request);
        }
    }

    private void startWaiting(Endpoint endpoint) {
        while (endpoint.running < CAPACITY && !endpoint.waiting.isEmpty()) {
            Attempt attempt = endpoint.waiting.poll();
            endpoint.running++;
            time.after(exponential((double) MEAN_RUN_NANOS), () -> end(endpoint, attempt));
        }
    }

    private void end(Endpoint endpoint, Attempt attempt) {
        endpoint.running--;
        Request request = attempt.request;
        if (attempt.givenUp || request.answered || isTooLate(request)) {
            workWasted++;
        } else {
            request.answered = true;
            answeredInTime++;
        }
        startWaiting(endpoint);
    }
}
