package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import java.util.Locale;
import java.util.random.RandomGenerator;

/** How an endpoint is picked from those that no rule rejects. */
public enum RoutingPolicy {
    /** Picks the endpoints in rotation. */
    ROUND_ROBIN,
    /** Picks the endpoint with the lowest estimated load. */
    LEAST_IN_FLIGHT,
    /** Picks the less loaded of two random endpoints; on a tie, prefers the one in this VM's zone. */
    POWER_OF_TWO,
    /** Picks by cached prefix if the load allows it, otherwise by power of two choices. */
    CACHED_PREFIX,
    /**
     * Picks by cached prefix, then by the prefix's home endpoint, if the load allows it; otherwise by power of two
     * choices.
     */
    AFFINITY;

    Choice pick(ImmutableList<EndpointView> candidates, RouteContext context, long position, RandomGenerator random) {
        return switch (this) {
            case ROUND_ROBIN -> LoadBalancingPolicies.roundRobin(candidates, position);
            case LEAST_IN_FLIGHT -> LoadBalancingPolicies.leastLoaded(candidates, context);
            case POWER_OF_TWO -> LoadBalancingPolicies.lessLoadedOfTwo(candidates, context, random);
            case CACHED_PREFIX -> AffinityPolicy.pick(candidates, context, false, random);
            case AFFINITY -> AffinityPolicy.pick(candidates, context, true, random);
        };
    }

    /** Returns the name in lower case, as used in settings and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
