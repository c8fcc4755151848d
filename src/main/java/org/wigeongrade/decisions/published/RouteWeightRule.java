package org.wigeongrade.decisions.published;

import java.util.stream.Stream;

/** Finds routes with a negative weight or weights that add up to 0. Stateless. */
final class RouteWeightRule implements PublishedRule {
    @Override
    public String code() {
        return "route_without_weight";
    }

    @Override
    public Stream<String> findFaults(PublishedConfiguration configuration) {
        return configuration.routes().stream()
                .filter(RouteWeightRule::isFaulty)
                .map(route -> "the weights of route " + route.name()
                        + " must not be negative and must add up to more than 0");
    }

    private static boolean isFaulty(Route route) {
        return !(route.totalWeight() > 0) || route.targets().stream().anyMatch(target -> target.weight() < 0);
    }
}
