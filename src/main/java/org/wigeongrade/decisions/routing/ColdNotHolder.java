package org.wigeongrade.decisions.routing;

import java.util.Optional;

/** Endpoint is cold and another entry VM is named to send to it alone. */
final class ColdNotHolder implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.COLD_NOT_HOLDER;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return endpoint.cold()
                && !endpoint.coldHolder().equals(Optional.of(context.request().self()));
    }
}
