package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Picks the endpoint whose cache holds the longest prefix of the prompt, unless its load is too far above the mean. For a
 * prefix that no index knows, all entry VMs pick the same home endpoint by rendezvous hashing, so that cache events may
 * come late. Stateless.
 */
final class AffinityChoice {
    /** Load above the mean, as part of what an endpoint can bear, up to which its cache outweighs its load. */
    private static final double TOLERATED_EXTRA_LOAD = 0.25;

    private AffinityChoice() {}

    static Choice pick(
            ImmutableList<EndpointView> candidates, RouteContext context, boolean useHome, RandomGenerator random) {
        if (context.request().prefixDigests().isEmpty()) {
            return Choices.lessLoadedOfTwo(candidates, context, random);
        }
        double loadLimit = meanLoad(candidates, context) + TOLERATED_EXTRA_LOAD;
        ImmutableList<EndpointView> bearable = candidates.stream()
                .filter(endpoint -> context.loadRatio(endpoint) <= loadLimit)
                .collect(ImmutableList.toImmutableList());
        return cached(bearable, context)
                .or(() -> useHome ? home(bearable, context) : Optional.empty())
                .orElseGet(() -> Choices.lessLoadedOfTwo(candidates, context, random));
    }

    private static Optional<Choice> cached(ImmutableList<EndpointView> bearable, RouteContext context) {
        return bearable.stream()
                .filter(endpoint -> matchedBlocks(endpoint, context) > 0)
                .max(Comparator.<EndpointView>comparingInt(endpoint -> matchedBlocks(endpoint, context))
                        .thenComparing(Comparator.<EndpointView>comparingDouble(context::loadRatio)
                                .reversed()))
                .map(endpoint -> new Choice(endpoint, ChoiceReason.CACHED_PREFIX, bearable));
    }

    private static Optional<Choice> home(ImmutableList<EndpointView> bearable, RouteContext context) {
        String firstBlock = context.request().prefixDigests().get(0);
        return bearable.stream()
                .max(Comparator.comparingLong(endpoint -> homeWeight(firstBlock, endpoint)))
                .map(endpoint -> new Choice(endpoint, ChoiceReason.PREFIX_HOME, bearable));
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
