package org.wigeongrade.decisions.routing;

import java.util.Optional;

/** Rejects a cold endpoint if this entry VM is not the one that may send to it. */
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
