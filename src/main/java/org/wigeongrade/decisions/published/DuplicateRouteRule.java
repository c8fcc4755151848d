package org.wigeongrade.decisions.published;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.wigeongrade.ids.RouteName;

/** Finds routes with the same host and path prefix as an earlier route. Stateless. */
final class DuplicateRouteRule implements PublishedRule {
    private record HostAndPrefix(String hostname, String pathPrefix) {}

    @Override
    public String code() {
        return "routes_in_same_place";
    }

    @Override
    public Stream<String> findFaults(PublishedConfiguration configuration) {
        final Map<HostAndPrefix, RouteName> first = new HashMap<>();
        final Stream.Builder<String> faults = Stream.builder();
        for (final Route route : configuration.routes()) {
            final RouteName earlier =
                    first.putIfAbsent(new HostAndPrefix(route.hostname(), route.pathPrefix()), route.name());
            if (earlier != null) {
                faults.add("route " + route.name() + " has the same host and prefix as route " + earlier
                        + "; change one of them");
            }
        }
        return faults.build();
    }
}
