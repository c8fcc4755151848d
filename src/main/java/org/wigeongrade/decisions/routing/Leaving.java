package org.wigeongrade.decisions.routing;

/** Rejects an endpoint that is shutting down: it finishes its running requests and accepts no new ones. */
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
