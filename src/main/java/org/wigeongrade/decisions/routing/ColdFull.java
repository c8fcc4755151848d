package org.wigeongrade.decisions.routing;

/** Cold endpoint reports as many requests as it can bear, counting those that others sent before it turned cold. */
final class ColdFull implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.COLD_FULL;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return endpoint.cold() && endpoint.load().total() >= endpoint.bearableRequests();
    }
}
