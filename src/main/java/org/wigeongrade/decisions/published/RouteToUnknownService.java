package org.wigeongrade.decisions.published;

import java.util.stream.Stream;

/** Finds routes that send requests to a service that the configuration does not hold. Stateless. */
final class RouteToUnknownService implements PublishedRule {
    @Override
    public String code() {
        return "route_to_unknown_service";
    }

    @Override
    public Stream<String> faults(PublishedConfiguration configuration) {
        return configuration.routes().stream()
                .flatMap(route -> route.targets().stream()
                        .filter(target ->
                                configuration.service(target.service()).isEmpty())
                        .map(target -> "route " + route.name() + " names service " + target.service()
                                + ", which is not in the configuration; add it or name another"));
    }
}
