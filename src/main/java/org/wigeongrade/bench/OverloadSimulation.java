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
 * Simulates, in virtual time, endpoints that queue the attempts they cannot run at once. Callers have deadlines;
 * attempts time out and are retried. An endpoint cannot tell that an attempt has timed out and runs it anyway. Not
 * thread-safe.
 */
final class OverloadSimulation {
    private static final int ENDPOINTS = 10;
    private static final int CAPACITY = 8;
    private static final long MEAN_RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long ATTEMPT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);
    private static final long CALLER_DEADLINE_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int MAX_ATTEMPTS = 4;
    private static final RouteTarget TARGET = RouteTarget.of(ServiceName.of("service"));

    private final OverloadMechanism mechanism;
    private final double loadFactor;
    private final RandomGenerator random;
    private final VirtualTime time = new VirtualTime();
    private final RetryBudget retryBudget = new RetryBudget(0.1, 10);
    private final List<Endpoint> endpoints = new ArrayList<>();
    private long offered;
    private long attempts;
    private long answeredInTime;
    private long workWasted;

    private static final class Endpoint {
        private final Deque<Attempt> queue = new ArrayDeque<>();
        private int running;

        int inFlight() {
            return running + queue.size();
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
        private boolean timedOut;

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
        scheduleArrival();
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

    private void scheduleArrival() {
        time.after(exponential(MEAN_RUN_NANOS / (loadFactor * ENDPOINTS * CAPACITY)), () -> {
            offered++;
            retryBudget.recordFirstAttempt(TARGET);
            sendAttempt(new Request(time.nowNanos()));
            scheduleArrival();
        });
    }

    private boolean isPastDeadline(Request request) {
        return time.nowNanos() - request.arrivedNanos >= CALLER_DEADLINE_NANOS;
    }

    private void sendAttempt(Request request) {
        if (isPastDeadline(request)) {
            return;
        }
        Endpoint endpoint = lessLoadedOfTwo();
        if (mechanism.hasShares() && endpoint.inFlight() >= CAPACITY) {
            time.after(RETRY_AFTER_NANOS, () -> sendAttempt(request));
            return;
        }
        request.attempts++;
        attempts++;
        Attempt attempt = new Attempt(request);
        endpoint.queue.add(attempt);
        startQueued(endpoint);
        time.after(ATTEMPT_TIMEOUT_NANOS, () -> onAttemptTimeout(attempt));
    }

    private Endpoint lessLoadedOfTwo() {
        Endpoint first = endpoints.get(random.nextInt(endpoints.size()));
        Endpoint second = endpoints.get(random.nextInt(endpoints.size()));
        return first.inFlight() <= second.inFlight() ? first : second;
    }

    private void onAttemptTimeout(Attempt attempt) {
        Request request = attempt.request;
        if (attempt.timedOut || request.answered) {
            return;
        }
        attempt.timedOut = true;
        boolean retryAllowed = !mechanism.hasRetryBudget() || retryBudget.tryTakeRetry(TARGET);
        if (request.attempts < MAX_ATTEMPTS && retryAllowed) {
            sendAttempt(request);
        }
    }

    private void startQueued(Endpoint endpoint) {
        while (endpoint.running < CAPACITY && !endpoint.queue.isEmpty()) {
            Attempt attempt = endpoint.queue.poll();
            endpoint.running++;
            time.after(exponential((double) MEAN_RUN_NANOS), () -> finishRun(endpoint, attempt));
        }
    }

    private void finishRun(Endpoint endpoint, Attempt attempt) {
        endpoint.running--;
        Request request = attempt.request;
        if (attempt.timedOut || request.answered || isPastDeadline(request)) {
            workWasted++;
        } else {
            request.answered = true;
            answeredInTime++;
        }
        startQueued(endpoint);
    }
}
