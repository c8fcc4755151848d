package org.wigeongrade.decisions.routing;

/** Endpoint is shutting down: it ends what it runs and takes no new work. */
final class Leaving implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.LEAVING;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return endpoint.leaving();
    }
}
