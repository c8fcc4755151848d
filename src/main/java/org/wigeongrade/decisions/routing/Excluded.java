package org.wigeongrade.decisions.routing;

/** Rejects an endpoint on which this request was tried before. */
final class Excluded implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.EXCLUDED;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return context.request().excluded().contains(endpoint.id());
    }
}
