package org.wigeongrade.decisions.routing;

/** Rejects an endpoint whose availability zone operators took out of service. */
final class ZoneOut implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.ZONE_OUT;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return !endpoint.zoneTakesNewWork();
    }
}
