package org.wigeongrade.decisions.routing;

/** Endpoint runs a request that may crash it, which must be alone. */
final class SuspectRunning implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.SUSPECT_RUNNING;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return context.slots().isReservedForSuspect(endpoint.id());
    }
}
