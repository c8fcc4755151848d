package org.wigeongrade.decisions.published;

import java.util.stream.Stream;

/** Finds routes to a service that is not in the configuration. Stateless. */
final class UnknownServiceRule implements PublishedRule {
    @Override
    public String code() {
        return "route_to_unknown_service";
    }

    @Override
    public Stream<String> findFaults(PublishedConfiguration configuration) {
        return configuration.routes().stream()
                .flatMap(route -> route.targets().stream()
                        .filter(target ->
                                configuration.service(target.service()).isEmpty())
                        .map(target -> "route " + route.name() + " sends requests to service " + target.service()
                                + ", which is not in the configuration; add the service or change the route"));
    }
}
