package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.wigeongrade.errors.ErrorKind;

/**
 * Chooses the endpoint for one attempt.
 *
 * <p>Invariant: no {@link CandidateRule} rejects the chosen endpoint. Choosing does not acquire a slot: the caller
 * acquires it right afterwards, and if the slot is no longer free, chooses again with the endpoint excluded. Safe for
 * use from any thread: the only state is an atomic counter.
 */
public final class Router {
    private final RoutingPolicy policy;
    private final ImmutableList<CandidateRule> rules;
    private final AtomicLong nextPosition = new AtomicLong();

    public Router(RoutingPolicy policy) {
        this(policy, CandidateRule.ALL);
    }

    Router(RoutingPolicy policy, ImmutableList<CandidateRule> rules) {
        this.policy = policy;
        this.rules = rules;
    }

    /** Chooses one of {@code endpoints}, or returns why none may receive the request now. */
    public RouteDecision choose(Collection<EndpointView> endpoints, RouteContext context, RandomGenerator random) {
        Map<RouteReason, Integer> rejections = new EnumMap<>(RouteReason.class);
        ImmutableList.Builder<EndpointView> candidates = ImmutableList.builder();
        for (EndpointView endpoint : endpoints) {
            Optional<RouteReason> rejection = rejection(endpoint, context);
            rejection.ifPresentOrElse(
                    reason -> rejections.merge(reason, 1, Integer::sum), () -> candidates.add(endpoint));
        }
        rejections.remove(RouteReason.WRONG_TARGET);
        return decide(candidates.build(), rejections, context, random);
    }

    /** Returns the first reason to reject the endpoint for the request; empty if there is none. */
    public Optional<RouteReason> rejection(EndpointView endpoint, RouteContext context) {
        return rules.stream()
                .filter(rule -> rule.rejects(endpoint, context))
                .map(CandidateRule::reason)
                .findFirst();
    }

    private RouteDecision decide(
            ImmutableList<EndpointView> candidates,
            Map<RouteReason, Integer> rejections,
            RouteContext context,
            RandomGenerator random) {
        if (candidates.isEmpty()) {
            return new RouteDecision.Refused(refusalKind(rejections), rejections);
        }
        Choice choice = pick(candidates, context, random);
        ImmutableList<RouteDecision.Considered> considered = choice.considered().stream()
                .map(endpoint -> considered(endpoint, context))
                .collect(ImmutableList.toImmutableList());
        return new RouteDecision.Chosen(choice.endpoint(), choice.reason(), considered, rejections);
    }

    private Choice pick(ImmutableList<EndpointView> candidates, RouteContext context, RandomGenerator random) {
        if (candidates.size() == 1) {
            return new Choice(candidates.get(0), ChoiceReason.ONLY_CANDIDATE, candidates);
        }
        if (context.request().isolated()) {
            return LoadBalancingPolicies.leastLoaded(candidates, context);
        }
        return policy.pick(candidates, context, nextPosition.getAndIncrement(), random);
    }

    private static RouteDecision.Considered considered(EndpointView endpoint, RouteContext context) {
        int matched = context.prefixes()
                .matchedBlocks(endpoint.id(), context.request().prefixDigests());
        return new RouteDecision.Considered(endpoint.id(), context.loadRatio(endpoint), matched);
    }

    private static ErrorKind refusalKind(Map<RouteReason, Integer> rejections) {
        boolean lacksCapacity = rejections.keySet().stream().anyMatch(RouteReason::isLackOfCapacity);
        return lacksCapacity ? ErrorKind.NO_FREE_SLOT : ErrorKind.NO_WHOLE_GROUP;
    }
}
