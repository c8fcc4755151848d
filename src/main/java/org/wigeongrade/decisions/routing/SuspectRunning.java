package org.wigeongrade.decisions.routing;

/**
 * Rejects an endpoint where this VM is running a suspect request: one that may crash the endpoint and so must run there
 * on its own.
 */
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
