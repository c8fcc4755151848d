package org.wigeongrade.decisions.routing;

/**
 * Rejects a cold endpoint that reports as many requests as it can handle, including those that other entry VMs sent
 * before it became cold.
 */
final class ColdFull implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.COLD_FULL;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return endpoint.cold() && endpoint.load().total() >= endpoint.currentCapacity();
    }
}
