package org.wigeongrade.decisions.routing;

/** Rejects an endpoint whose serving lease has ended: a member of the group may be missing. */
final class ServingLeaseEnded implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.SERVING_LEASE_ENDED;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return endpoint.servingDeadline().hasPassed(context.leaseNow());
    }
}
