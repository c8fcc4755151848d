package org.wigeongrade.decisions.balancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.random.RandomGenerator;

/**
 * Places each request on the endpoint with the lowest cost, which is mainly the predicted time to the response.
 *
 * <p>Many entry nodes place several requests at each endpoint before any of them sees a new view. Preferring the endpoint
 * that had the least load would make all of them choose it, so they compare endpoints as if the other nodes' load were
 * spread evenly. Which endpoints can still respond in time is decided by the load in the view.
 *
 * <p>Endpoints that recently failed, are suspect or are stalled are used only if there is no other one. Stateless
 * except for the random number generator; not thread safe.
 */
public final class Balancer {
    /** Maximum number of requests that wait at a full endpoint; one pass frees about as many slots. */
    private static final int MAX_QUEUED_PER_ENDPOINT = 2;
    /** Time without a byte after which an endpoint with requests in flight counts as stalled and gets no new ones. */
    private static final long STALL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    /**
     * Number of engine passes without a byte that are normal while streams run: the current pass, and one more whose
     * last bytes may not have arrived yet.
     */
    private static final int EXPECTED_SILENT_PASSES = 2;
    /**
     * Cost of each millisecond for which an endpoint has been silent beyond the expected time; a request sent there
     * waits at least as long again.
     */
    private static final double EXCESS_SILENCE_WEIGHT = 2;
    /**
     * Cost of an endpoint in another availability zone, in milliseconds: the round trip and the price of the traffic.
     */
    private static final double CROSS_ZONE_COST_MS = 4;
    /** Cost of each millisecond by which the predicted pause exceeds the target. */
    private static final double EXCESS_PAUSE_WEIGHT = 4;
    /** Cost of an endpoint that fails all of its requests, in milliseconds. */
    private static final double FAILURE_COST_MS = 2_000;
    /**
     * Maximum predicted time to the first event as a multiple of the target; a later response is worth little and
     * delays others.
     */
    private static final double MAX_LATENCY_FACTOR = 1.05;
    /** Slowness at and above which an endpoint counts as slow; almost none of its responses are on time. */
    private static final double SLOW_ENDPOINT_FACTOR = 1.8;
    /**
     * Maximum predicted time at a slow endpoint as a multiple of the target; a late response there does not delay
     * responses that could be on time.
     */
    private static final double MAX_LATENCY_FACTOR_AT_SLOW = 2.5;
    /**
     * Maximum number of entry nodes for which each node compares all endpoints: together, so few nodes send each
     * endpoint less than one request between two updates of their view.
     */
    private static final int MAX_NODES_COMPARING_ALL = 10;
    /** Minimum number of endpoints to compare; comparing two already avoids most of the imbalance. */
    private static final int MIN_SAMPLE_SIZE = 3;
    /**
     * Range of the random factor on the cost, which keeps entry nodes with the same view from all choosing the same
     * endpoint.
     */
    private static final double COST_JITTER = 0.15;
    /**
     * Assumed time to the response of an idle plain endpoint, in milliseconds; the endpoint's moving average corrects
     * it.
     */
    private static final double PLAIN_ANSWER_MS = 40;
    /** Maximum time until a refused caller should retry, in milliseconds; a lost group is formed again within it. */
    private static final long MAX_RETRY_AFTER_MS = 2_000;
    /** Maximum fraction of a caller's remaining time that it should wait before it retries. */
    private static final double MAX_RETRY_FRACTION_OF_REMAINING = 1.0 / 3;
    /**
     * Fraction of the wait, at its end, over which the retries of callers that are refused together are spread, so that
     * there is capacity for them.
     */
    private static final double RETRY_JITTER = 0.5;

    private final RandomGenerator random;

    public Balancer(RandomGenerator random) {
        this.random = random;
    }

    /**
     * Chooses one of the endpoints that serve the request's target, or refuses the request.
     *
     * @param engine present where the endpoints are groups of one model
     */
    public Placement place(
            PlacementRequest request,
            List<EndpointLoad> endpoints,
            Optional<EngineLatencyModel> engine,
            BalancingLimits limits,
            long nowNanos) {
        final List<EndpointLoad> untried = endpoints.stream()
                .filter(endpoint -> !request.tried().contains(endpoint.vm().vm()))
                .toList();
        if (untried.isEmpty()) {
            return Placement.refused(Placement.Refusal.NONE_SERVES, 0, retryAfterMs(request));
        }
        final List<EndpointLoad> allowed = untried.stream()
                .filter(endpoint -> endpoint.restriction().pausedForNanos(nowNanos) == 0)
                .toList();
        if (allowed.isEmpty()) {
            return Placement.refused(
                    Placement.Refusal.ALL_PAUSED, untried.size(), retryAfterPauseMs(request, untried, nowNanos));
        }
        final double medianSlowness = medianSlowness(endpoints);
        final List<EndpointLoad> available = allowed.stream()
                .filter(endpoint -> hasCapacity(endpoint, engine, limits, nowNanos)
                        && isInTime(endpoint, request, engine, medianSlowness, nowNanos))
                .toList();
        if (available.isEmpty()) {
            return Placement.refused(Placement.Refusal.ALL_BUSY, allowed.size(), retryAfterMs(request));
        }
        final List<EndpointLoad> healthy = available.stream()
                .filter(endpoint -> isHealthy(endpoint, nowNanos))
                .toList();
        final Function<EndpointLoad, Load> load =
                limits.entryNodes() > MAX_NODES_COMPARING_ALL ? Load.spreadEvenly(endpoints) : Load::inView;
        final EndpointLoad chosen = sample(healthy.isEmpty() ? available : healthy, limits.entryNodes()).stream()
                .map(endpoint -> new EndpointCost(
                        endpoint, cost(endpoint, load.apply(endpoint), request, engine, medianSlowness, nowNanos)))
                .min(Comparator.comparingDouble(EndpointCost::cost))
                .orElseThrow()
                .endpoint();
        return Placement.at(
                chosen,
                predictedMs(chosen, Load.inView(chosen), request, engine, medianSlowness, nowNanos),
                available.size());
    }

    private static boolean isHealthy(EndpointLoad endpoint, long nowNanos) {
        return !endpoint.isAvoided(nowNanos) && !endpoint.isSuspect() && endpoint.stalledNanos(nowNanos) < STALL_NANOS;
    }

    /**
     * Returns all endpoints if there are few entry nodes, and a random sample if there are many. Otherwise, all nodes
     * would send to the same endpoint until the next view shows its load.
     */
    private List<EndpointLoad> sample(List<EndpointLoad> endpoints, int entryNodes) {
        final double ratio = (double) MAX_NODES_COMPARING_ALL / Math.max(1, entryNodes);
        final int size = Math.max(MIN_SAMPLE_SIZE, (int) Math.ceil(ratio * endpoints.size()));
        if (size >= endpoints.size()) {
            return endpoints;
        }
        final List<EndpointLoad> shuffled = new ArrayList<>(endpoints);
        for (int i = 0; i < size; i++) {
            Collections.swap(shuffled, i, random.nextInt(i, shuffled.size()));
        }
        return shuffled.subList(0, size);
    }

    private record EndpointCost(EndpointLoad endpoint, double cost) {}

    /** What an endpoint is assumed to have in flight, and the prompt tokens of it that wait for prefill. */
    private record Load(int requests, int promptTokens) {
        static Load inView(EndpointLoad endpoint) {
            return new Load(endpoint.totalInFlight(), endpoint.pendingPromptTokens());
        }

        /** Returns this node's own load at an endpoint, with an even share of what other nodes have at all of them. */
        static Function<EndpointLoad, Load> spreadEvenly(List<EndpointLoad> endpoints) {
            final int requests = (int) Math.round(endpoints.stream()
                    .mapToInt(endpoint -> endpoint.totalInFlight() - endpoint.inFlight())
                    .average()
                    .orElse(0));
            final int promptTokens = (int) Math.round(endpoints.stream()
                    .mapToInt(endpoint -> endpoint.pendingPromptTokens() - endpoint.ownPendingPromptTokens())
                    .average()
                    .orElse(0));
            return endpoint ->
                    new Load(endpoint.inFlight() + requests, endpoint.ownPendingPromptTokens() + promptTokens);
        }
    }

    private static boolean hasCapacity(
            EndpointLoad endpoint, Optional<EngineLatencyModel> engine, BalancingLimits limits, long nowNanos) {
        if (endpoint.isCold(nowNanos)
                && endpoint.sendsInLastSecond(nowNanos) + 1 > limits.maxColdSends(endpoint.vm())) {
            return false;
        }
        if (!endpoint.restriction().allowsSend(nowNanos)) {
            return false;
        }
        final int slots = engine.map(EngineLatencyModel::slots).orElse(endpoint.slots());
        return endpoint.totalInFlight() < slots + MAX_QUEUED_PER_ENDPOINT;
    }

    /**
     * Returns whether the endpoint is predicted to send the first event in time. Always true for plain endpoints and
     * for requests that may have started.
     */
    private static boolean isInTime(
            EndpointLoad endpoint,
            PlacementRequest request,
            Optional<EngineLatencyModel> engine,
            double medianSlowness,
            long nowNanos) {
        if (engine.isEmpty() || request.mayHaveStarted()) {
            return true;
        }
        final boolean slow = slowness(endpoint, medianSlowness, nowNanos) >= SLOW_ENDPOINT_FACTOR;
        return predictedMs(endpoint, Load.inView(endpoint), request, engine, medianSlowness, nowNanos)
                <= (slow ? MAX_LATENCY_FACTOR_AT_SLOW : MAX_LATENCY_FACTOR) * request.targetLatencyMs();
    }

    /** Returns the median slowness of the endpoints; the median is used because load slows all of them alike. */
    private static double medianSlowness(List<EndpointLoad> endpoints) {
        final double[] sorted =
                endpoints.stream().mapToDouble(EndpointLoad::slowness).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }

    private static double slowness(EndpointLoad endpoint, double medianSlowness, long nowNanos) {
        return endpoint.paceFactor() * endpoint.slownessAgainst(medianSlowness, nowNanos);
    }

    private double cost(
            EndpointLoad endpoint,
            Load load,
            PlacementRequest request,
            Optional<EngineLatencyModel> engine,
            double medianSlowness,
            long nowNanos) {
        final double firstEventMs = predictedMs(endpoint, load, request, engine, medianSlowness, nowNanos);
        final double pauseMs =
                engine.map(model -> model.passMs(load.requests() + 1)).orElse(0.0)
                        * slowness(endpoint, medianSlowness, nowNanos);
        final double excessPauseMs = request.targetPauseMs() == 0 ? 0 : Math.max(0, pauseMs - request.targetPauseMs());
        final double zoneMs = endpoint.zone().equals(request.zone()) ? 0 : CROSS_ZONE_COST_MS;
        final double jitter = 1 + COST_JITTER * random.nextDouble();
        final double excessSilenceMs =
                engine.map(model -> excessSilenceMs(endpoint, model, nowNanos)).orElse(0.0);
        return (firstEventMs + pauseMs + zoneMs) * jitter
                + EXCESS_SILENCE_WEIGHT * excessSilenceMs
                + EXCESS_PAUSE_WEIGHT * excessPauseMs
                + FAILURE_COST_MS * endpoint.failureRate();
    }

    /** Returns for how much longer than expected a group with running streams has been silent, in milliseconds. */
    private static double excessSilenceMs(EndpointLoad endpoint, EngineLatencyModel model, long nowNanos) {
        if (endpoint.runningStreams() == 0) {
            return 0;
        }
        final double silentMs = endpoint.stalledNanos(nowNanos) / 1e6;
        final double expectedMs = EXPECTED_SILENT_PASSES * model.passMs(endpoint.totalInFlight())
                + model.prefillMs(endpoint.pendingPromptTokens());
        return Math.max(0, silentMs - expectedMs * endpoint.paceFactor());
    }

    private static double predictedMs(
            EndpointLoad endpoint,
            Load load,
            PlacementRequest request,
            Optional<EngineLatencyModel> engine,
            double medianSlowness,
            long nowNanos) {
        final double idealMs = engine.map(
                        model -> model.firstEventMs(load.requests(), load.promptTokens(), request.promptTokens()))
                .orElseGet(() -> PLAIN_ANSWER_MS * (1 + (double) load.requests() / Math.max(1, endpoint.slots())));
        return idealMs * slowness(endpoint, medianSlowness, nowNanos);
    }

    /**
     * Returns after how many milliseconds the first paused endpoint may get requests again, or the usual time if its
     * caller would not wait for that long.
     */
    private long retryAfterPauseMs(PlacementRequest request, List<EndpointLoad> paused, long nowNanos) {
        final long firstEndNanos = paused.stream()
                .mapToLong(endpoint -> endpoint.restriction().pausedForNanos(nowNanos))
                .min()
                .orElseThrow();
        final long firstEndMs = TimeUnit.NANOSECONDS.toMillis(firstEndNanos) + 1;
        return firstEndMs <= MAX_RETRY_FRACTION_OF_REMAINING * request.remainingMs()
                ? firstEndMs
                : retryAfterMs(request);
    }

    /**
     * Returns after how many milliseconds a refused caller should retry. Its response will be late in any case and
     * callers retry only once, so the delay is as long as they are willing to wait: by then, lost groups may have been
     * formed again or the load peak may be over.
     */
    private long retryAfterMs(PlacementRequest request) {
        final double maxMs = Math.min(MAX_RETRY_AFTER_MS, MAX_RETRY_FRACTION_OF_REMAINING * request.remainingMs());
        return Math.round(maxMs * (1 - RETRY_JITTER * random.nextDouble()));
    }
}
