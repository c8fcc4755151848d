package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks the endpoint whose cache holds the longest prefix of the prompt, unless its load is too far above the mean. If
 * no endpoint is known to have cached the prefix, all entry VMs pick the same home endpoint for it by rendezvous
 * hashing, so the choice is consistent even before cache events arrive. Stateless.
 */
final class AffinityPolicy {
    /** How far the load ratio of an endpoint may exceed the mean before its load outweighs its cached prefix. */
    private static final double MAX_LOAD_ABOVE_MEAN = 0.25;

    private AffinityPolicy() {}

    static Choice pick(
            ImmutableList<EndpointView> candidates, RouteContext context, boolean useHome, RandomGenerator random) {
        if (context.request().prefixDigests().isEmpty()) {
            return LoadBalancingPolicies.lessLoadedOfTwo(candidates, context, random);
        }
        double loadLimit = meanLoad(candidates, context) + MAX_LOAD_ABOVE_MEAN;
        ImmutableList<EndpointView> eligible = candidates.stream()
                .filter(endpoint -> context.loadRatio(endpoint) <= loadLimit)
                .collect(ImmutableList.toImmutableList());
        return pickCached(eligible, context)
                .or(() -> useHome ? pickHome(eligible, context) : Optional.empty())
                .orElseGet(() -> LoadBalancingPolicies.lessLoadedOfTwo(candidates, context, random));
    }

    private static Optional<Choice> pickCached(ImmutableList<EndpointView> eligible, RouteContext context) {
        return eligible.stream()
                .filter(endpoint -> matchedBlocks(endpoint, context) > 0)
                .max(Comparator.<EndpointView>comparingInt(endpoint -> matchedBlocks(endpoint, context))
                        .thenComparing(Comparator.<EndpointView>comparingDouble(context::loadRatio)
                                .reversed()))
                .map(endpoint -> new Choice(endpoint, ChoiceReason.CACHED_PREFIX, eligible));
    }

    private static Optional<Choice> pickHome(ImmutableList<EndpointView> eligible, RouteContext context) {
        String firstBlock = context.request().prefixDigests().get(0);
        return eligible.stream()
                .max(Comparator.comparingLong(endpoint -> homeWeight(firstBlock, endpoint)))
                .map(endpoint -> new Choice(endpoint, ChoiceReason.PREFIX_HOME, eligible));
    }

    private static long homeWeight(String firstBlock, EndpointView endpoint) {
        return Hashing.murmur3_128()
                .hashString(firstBlock + "|" + endpoint.id(), StandardCharsets.UTF_8)
                .asLong();
    }

    private static int matchedBlocks(EndpointView endpoint, RouteContext context) {
        return context.prefixes().matchedBlocks(endpoint.id(), context.request().prefixDigests());
    }

    private static double meanLoad(ImmutableList<EndpointView> candidates, RouteContext context) {
        return candidates.stream().mapToDouble(context::loadRatio).average().orElse(0);
    }
}
