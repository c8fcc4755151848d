package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import java.util.Comparator;
import java.util.random.RandomGenerator;

/** Ways to pick by load alone. Stateless. */
final class Choices {
    private Choices() {}

    static Choice inTurn(ImmutableList<EndpointView> candidates, long turn) {
        EndpointView picked = candidates.get((int) Math.floorMod(turn, (long) candidates.size()));
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
        EndpointView one = candidates.get(first);
        EndpointView other = candidates.get(second);
        ImmutableList<EndpointView> considered = ImmutableList.of(one, other);
        int byLoad = Double.compare(context.loadRatio(one), context.loadRatio(other));
        if (byLoad != 0) {
            return new Choice(byLoad < 0 ? one : other, ChoiceReason.LESS_LOADED_OF_TWO, considered);
        }
        boolean otherIsNearer = isInOwnZone(other, context) && !isInOwnZone(one, context);
        return new Choice(otherIsNearer ? other : one, ChoiceReason.SAME_ZONE, considered);
    }

    static boolean isInOwnZone(EndpointView endpoint, RouteContext context) {
        return endpoint.zone().equals(context.request().ownZone());
    }

    private static Comparator<EndpointView> byLoadThenZone(RouteContext context) {
        return Comparator.<EndpointView>comparingDouble(context::loadRatio)
                .thenComparing(endpoint -> !isInOwnZone(endpoint, context));
    }
}
