package org.wigeongrade.decisions.published;

import java.util.stream.Stream;

/** Finds routes whose weights are negative or add up to nothing. Stateless. */
final class RouteWithoutWeight implements PublishedRule {
    @Override
    public String code() {
        return "route_without_weight";
    }

    @Override
    public Stream<String> faults(PublishedConfiguration configuration) {
        return configuration.routes().stream()
                .filter(RouteWithoutWeight::isFaulty)
                .map(route -> "the weights of route " + route.name()
                        + " must not be negative and must add up to more than 0");
    }

    private static boolean isFaulty(Route route) {
        return !(route.totalWeight() > 0) || route.targets().stream().anyMatch(target -> target.weight() < 0);
    }
}
