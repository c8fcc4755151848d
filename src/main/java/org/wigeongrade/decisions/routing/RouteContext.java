package org.wigeongrade.decisions.routing;

import org.wigeongrade.clock.LeaseTime;

/** The input of a routing decision besides the endpoints. Safe for use from any thread. */
public record RouteContext(
        RouteRequest request, SlotTable slots, PrefixIndex prefixes, long nowNanos, LeaseTime leaseNow) {
    /**
     * Estimates the requests at an endpoint as a fraction of its current capacity: this VM's own requests in flight, or
     * the endpoint's delayed report if that is higher.
     */
    double loadRatio(EndpointView endpoint) {
        int requests = Math.max(slots.inFlight(endpoint.id()), endpoint.load().total());
        return (double) requests / endpoint.currentCapacity();
    }
}
