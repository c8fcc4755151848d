package org.wigeongrade.decisions.routing;

/** Rejects an endpoint if this VM's share of its capacity is fully used or has expired. */
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
