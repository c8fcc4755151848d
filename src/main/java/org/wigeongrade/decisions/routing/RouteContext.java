package org.wigeongrade.decisions.routing;

/** What a routing decision reads besides the request and the endpoints. Safe for use from any thread. */
public record RouteContext(RouteRequest request, SlotTable slots, PrefixIndex prefixes, long nowNanos) {
    /**
     * Estimates the requests at an endpoint as part of what it can bear: this VM's own in flight, or the endpoint's
     * lagging report where that is higher.
     */
    double loadRatio(EndpointView endpoint) {
        int requests = Math.max(slots.inFlight(endpoint.id()), endpoint.load().total());
        return (double) requests / endpoint.bearableRequests();
    }
}
