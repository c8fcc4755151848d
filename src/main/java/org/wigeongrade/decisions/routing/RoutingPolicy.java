package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** How one endpoint is picked of those that may take the request. */
public enum RoutingPolicy {
    /** Picks each endpoint in its turn. */
    ROUND_ROBIN,
    /** Picks the endpoint with the lowest estimated load. */
    LEAST_IN_FLIGHT,
    /** Picks the less loaded of two random endpoints, the one of the same zone on ties. */
    POWER_OF_TWO,
    /** Picks by cached prefix where the load allows it, else by power of two choices. */
    CACHED_PREFIX,
    /** Picks by cached prefix, else the prefix's home endpoint, where the load allows it; else by power of two choices. */
    AFFINITY;

    Choice pick(ImmutableList<EndpointView> candidates, RouteContext context, long turn, RandomGenerator random) {
        return switch (this) {
            case ROUND_ROBIN -> Choices.inTurn(candidates, turn);
            case LEAST_IN_FLIGHT -> Choices.leastLoaded(candidates, context);
            case POWER_OF_TWO -> Choices.lessLoadedOfTwo(candidates, context, random);
            case CACHED_PREFIX -> AffinityChoice.pick(candidates, context, false, random);
            case AFFINITY -> AffinityChoice.pick(candidates, context, true, random);
        };
    }

    /** Returns the name in lower case, as it stands in settings and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
