package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.random.RandomGenerator;

/** Load balancing policies that ignore the contents of the prompt caches. Stateless. */
final class LoadBalancingPolicies {
    private LoadBalancingPolicies() {}

    static Choice roundRobin(ImmutableList<EndpointView> candidates, long position) {
        EndpointView picked = candidates.get((int) Math.floorMod(position, (long) candidates.size()));
        return new Choice(picked, ChoiceReason.NEXT_IN_TURN, ImmutableList.of(picked));
    }

    static Choice leastLoaded(ImmutableList<EndpointView> candidates, RouteContext context) {
        EndpointView picked = candidates.stream()
                .min(byLoadThenZone(context).thenComparing(EndpointView::id))
                .orElseThrow();
        return new Choice(picked, ChoiceReason.LEAST_LOADED, candidates);
    }

    static Choice lessLoadedOfTwo(
            ImmutableList<EndpointView> candidates, RouteContext context, RandomGenerator random) {
        int first = random.nextInt(candidates.size());
        int second = (first + 1 + random.nextInt(candidates.size() - 1)) % candidates.size();
        EndpointView firstEndpoint = candidates.get(first);
        EndpointView secondEndpoint = candidates.get(second);
        ImmutableList<EndpointView> considered = ImmutableList.of(firstEndpoint, secondEndpoint);
        int byLoad = Double.compare(context.loadRatio(firstEndpoint), context.loadRatio(secondEndpoint));
        if (byLoad != 0) {
            return new Choice(byLoad < 0 ? firstEndpoint : secondEndpoint, ChoiceReason.LESS_LOADED_OF_TWO, considered);
        }
        boolean onlySecondIsInOwnZone = isInOwnZone(secondEndpoint, context) && !isInOwnZone(firstEndpoint, context);
        return new Choice(onlySecondIsInOwnZone ? secondEndpoint : firstEndpoint, ChoiceReason.SAME_ZONE, considered);
    }

    static boolean isInOwnZone(EndpointView endpoint, RouteContext context) {
        return endpoint.zone().equals(context.request().ownZone());
    }

    private static Comparator<EndpointView> byLoadThenZone(RouteContext context) {
        return Comparator.<EndpointView>comparingDouble(context::loadRatio)
                .thenComparing(endpoint -> !isInOwnZone(endpoint, context));
    }
}
