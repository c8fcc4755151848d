package org.wigeongrade.decisions.routing;

/** This VM's share of the endpoint's capacity is in use or has expired. */
final class NoFreeSlot implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.NO_FREE_SLOT;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return !context.slots().hasFreeSlot(endpoint.id(), context.nowNanos());
    }
}
