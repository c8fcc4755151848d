package org.wigeongrade.decisions.published;

import java.util.HashMap;
import java.util.Map;
import java.util.stream.Stream;
import org.wigeongrade.ids.RouteName;

/** Finds routes that share host and path prefix with an earlier one. Stateless. */
final class RoutesInSamePlace implements PublishedRule {
    private record Place(String hostname, String pathPrefix) {}

    @Override
    public String code() {
        return "routes_in_same_place";
    }

    @Override
    public Stream<String> faults(PublishedConfiguration configuration) {
        final Map<Place, RouteName> first = new HashMap<>();
        final Stream.Builder<String> faults = Stream.builder();
        for (final Route route : configuration.routes()) {
            final RouteName earlier = first.putIfAbsent(new Place(route.hostname(), route.pathPrefix()), route.name());
            if (earlier != null) {
                faults.add("route " + route.name() + " has the host and prefix of route " + earlier
                        + "; change one of them");
            }
        }
        return faults.build();
    }
}
