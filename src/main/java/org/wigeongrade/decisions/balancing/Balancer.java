package org.wigeongrade.decisions.balancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Sends each request to the endpoint where it is predicted to be answered first.
 *
 * <p>Endpoints that failed of late or stand still are used only if there is no other one. Stateless but for the random
 * numbers; not thread safe.
 */
public final class Balancer {
    /** Requests that may wait at a full endpoint; one pass frees about as many places as this. */
    private static final int QUEUED_AT_FULL = 2;
    /** Time without a byte from an endpoint with requests after which it gets no new ones. */
    private static final long STANDSTILL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /** Passes of an engine without a byte that are usual while streams run: one more may wait for its last bytes. */
    private static final int USUAL_SILENT_PASSES = 2;
    /** Cost of each millisecond of silence beyond the usual, since whoever is sent there waits at least as long again. */
    private static final double SILENCE_WEIGHT = 2;
    /** Cost of another availability zone, in milliseconds: the way there and back, and what the bytes are worth. */
    private static final double OTHER_ZONE_MS = 4;
    /** Cost of each millisecond by which the predicted pause exceeds the target. */
    private static final double LATE_PAUSE_WEIGHT = 4;
    /** Cost of an endpoint that fails all of its requests, in milliseconds. */
    private static final double FAILURE_MS = 2_000;
    /** Times the target that the predicted first event may take; a later one is worth little and delays others. */
    private static final double LATEST_FACTOR = 1.05;
    /** Times the usual time from which on an endpoint counts as slow; nearly nothing is on time there. */
    private static final double SLOW_FACTOR = 1.8;
    /** Times the target at a slow endpoint, where a late answer delays no other one that could be on time. */
    private static final double LATEST_AT_SLOW_FACTOR = 2.5;
    /** Nodes up to which each one compares every endpoint: between two views they send less than one request to each. */
    private static final int NODES_THAT_COMPARE_ALL = 10;
    /** Endpoints that are compared at least; the choice of the better of two avoids most of the imbalance. */
    private static final int FEWEST_COMPARED = 3;
    /** Spread of random factors on the cost, so that entry nodes with the same view do not all choose the same endpoint. */
    private static final double JITTER = 0.15;
    /** Time to the answer of a plain endpoint that is idle; a moving average corrects it. */
    private static final double PLAIN_ANSWER_MS = 40;
    /** Longest time after which a refused caller comes back, in milliseconds: a lost group is formed again within it. */
    private static final long LONGEST_RETRY_MS = 2_000;
    /** Part of the time left that callers wait at most before they come back. */
    private static final double RETRY_PART_OF_REMAINING = 1.0 / 3;
    /** Callers that are refused together come back spread over this part of the time, so that they fit. */
    private static final double RETRY_SPREAD = 0.5;

    private final RandomGenerator random;

    public Balancer(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses among endpoints that may serve the request.
     *
     * @param engine present where the endpoints are groups of one model
     */
    public Placement place(
            BalancedRequest request,
            List<EndpointLoad> endpoints,
            Optional<EngineModel> engine,
            BalancingLimits limits,
            long nowNanos) {
        final List<EndpointLoad> untried = endpoints.stream()
                .filter(endpoint -> !request.tried().contains(endpoint.vm().vm()))
                .toList();
        if (untried.isEmpty()) {
            return Placement.refused(Placement.Refusal.NONE_SERVES, 0, retryAfterMs(request));
        }
        final double usualSlowness = usualSlowness(endpoints);
        final List<EndpointLoad> open = untried.stream()
                .filter(endpoint -> hasRoom(endpoint, engine, limits, nowNanos)
                        && isInTime(endpoint, request, engine, usualSlowness))
                .toList();
        if (open.isEmpty()) {
            return Placement.refused(Placement.Refusal.ALL_BUSY, untried.size(), retryAfterMs(request));
        }
        final List<EndpointLoad> sound =
                open.stream().filter(endpoint -> isSound(endpoint, nowNanos)).toList();
        final EndpointLoad chosen = sample(sound.isEmpty() ? open : sound, limits.entryNodes()).stream()
                .map(endpoint -> new Costed(endpoint, cost(endpoint, request, engine, usualSlowness, nowNanos)))
                .min(Comparator.comparingDouble(Costed::cost))
                .orElseThrow()
                .endpoint();
        return Placement.at(chosen, predictedMs(chosen, request, engine, usualSlowness), open.size());
    }

    private static boolean isSound(EndpointLoad endpoint, long nowNanos) {
        return !endpoint.isAvoided(nowNanos)
                && !endpoint.isSuspect()
                && endpoint.stalledNanos(nowNanos) < STANDSTILL_NANOS;
    }

    /**
     * Returns all endpoints while few nodes choose, and a random part of them while many do: they would otherwise all send
     * to the same endpoint until the next view shows it.
     */
    private List<EndpointLoad> sample(List<EndpointLoad> endpoints, int entryNodes) {
        final double part = (double) NODES_THAT_COMPARE_ALL / Math.max(1, entryNodes);
        final int size = Math.max(FEWEST_COMPARED, (int) Math.ceil(part * endpoints.size()));
        if (size >= endpoints.size()) {
            return endpoints;
        }
        final List<EndpointLoad> shuffled = new ArrayList<>(endpoints);
        for (int i = 0; i < size; i++) {
            Collections.swap(shuffled, i, random.nextInt(i, shuffled.size()));
        }
        return shuffled.subList(0, size);
    }

    private record Costed(EndpointLoad endpoint, double cost) {}

    private static boolean hasRoom(
            EndpointLoad endpoint, Optional<EngineModel> engine, BalancingLimits limits, long nowNanos) {
        if (endpoint.isCold(nowNanos)
                && endpoint.sendsInLastSecond(nowNanos) + 1 > Math.max(1, limits.coldSendsPerSecond())) {
            return false;
        }
        final int slots = engine.map(EngineModel::slots).orElse(endpoint.slots());
        return endpoint.running() < slots + QUEUED_AT_FULL;
    }

    /** Returns whether a request that is sent here now would get its first event early enough. */
    private static boolean isInTime(
            EndpointLoad endpoint, BalancedRequest request, Optional<EngineModel> engine, double usualSlowness) {
        if (engine.isEmpty() || request.begun()) {
            return true;
        }
        final boolean slow = slowness(endpoint, usualSlowness) >= SLOW_FACTOR;
        return predictedMs(endpoint, request, engine, usualSlowness)
                <= (slow ? LATEST_AT_SLOW_FACTOR : LATEST_FACTOR) * request.targetLatencyMs();
    }

    /** Returns the middle one of the endpoints' slowness, since load slows all of them alike. */
    private static double usualSlowness(List<EndpointLoad> endpoints) {
        final double[] sorted =
                endpoints.stream().mapToDouble(EndpointLoad::slowness).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }

    private static double slowness(EndpointLoad endpoint, double usualSlowness) {
        return endpoint.paceFactor() * Math.max(1, endpoint.slowness() / usualSlowness);
    }

    private double cost(
            EndpointLoad endpoint,
            BalancedRequest request,
            Optional<EngineModel> engine,
            double usualSlowness,
            long nowNanos) {
        final double firstMs = predictedMs(endpoint, request, engine, usualSlowness);
        final double pauseMs =
                engine.map(model -> model.passMs(endpoint.running() + 1)).orElse(0.0)
                        * slowness(endpoint, usualSlowness);
        final double latePauseMs = request.targetPauseMs() == 0 ? 0 : Math.max(0, pauseMs - request.targetPauseMs());
        final double zoneMs = endpoint.zone().equals(request.zone()) ? 0 : OTHER_ZONE_MS;
        final double jitter = 1 + JITTER * random.nextDouble();
        final double silentMs =
                engine.map(model -> unusualSilenceMs(endpoint, model, nowNanos)).orElse(0.0);
        return (firstMs + pauseMs + zoneMs) * jitter
                + SILENCE_WEIGHT * silentMs
                + LATE_PAUSE_WEIGHT * latePauseMs
                + FAILURE_MS * endpoint.failureRate();
    }

    /** Returns for how much longer than usual the group has sent no byte while streams run there, in milliseconds. */
    private static double unusualSilenceMs(EndpointLoad endpoint, EngineModel model, long nowNanos) {
        if (endpoint.writing() == 0) {
            return 0;
        }
        final double silentMs = endpoint.stalledNanos(nowNanos) / 1e6;
        final double usualMs =
                USUAL_SILENT_PASSES * model.passMs(endpoint.running()) + model.readMs(endpoint.unreadTokens());
        return Math.max(0, silentMs - usualMs * endpoint.paceFactor());
    }

    private static double predictedMs(
            EndpointLoad endpoint, BalancedRequest request, Optional<EngineModel> engine, double usualSlowness) {
        final double idealMs = engine.map(model ->
                        model.firstEventMs(endpoint.running(), endpoint.unreadTokens(), request.promptTokens()))
                .orElseGet(() -> PLAIN_ANSWER_MS * (1 + (double) endpoint.running() / Math.max(1, endpoint.slots())));
        return idealMs * slowness(endpoint, usualSlowness);
    }

    /**
     * Returns when a refused caller should come back, in milliseconds. An answer would be late in any case, and callers
     * come back only once: so as late as they agree to wait, when what was lost is formed again or the rush is over.
     */
    private long retryAfterMs(BalancedRequest request) {
        final double longestMs = Math.min(LONGEST_RETRY_MS, RETRY_PART_OF_REMAINING * request.remainingMs());
        return Math.round(longestMs * (1 - RETRY_SPREAD * random.nextDouble()));
    }
}
