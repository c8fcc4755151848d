package org.wigeongrade.decisions.routing;

/** Operators took the endpoint's availability zone out of service. */
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
