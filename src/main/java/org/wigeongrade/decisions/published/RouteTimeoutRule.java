package org.wigeongrade.decisions.published;

import java.util.stream.Stream;

/** Finds routes whose timeout is not positive. Stateless. */
final class RouteTimeoutRule implements PublishedRule {
    @Override
    public String code() {
        return "route_without_timeout";
    }

    @Override
    public Stream<String> findFaults(PublishedConfiguration configuration) {
        return configuration.routes().stream()
                .filter(route -> route.timeoutMs() <= 0)
                .map(route -> "the timeout of route " + route.name() + " must be at least 1 ms");
    }
}
