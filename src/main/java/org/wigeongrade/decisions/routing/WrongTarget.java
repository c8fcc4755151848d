package org.wigeongrade.decisions.routing;

/** Endpoint serves another model version or service, so its answer would be another request's. */
final class WrongTarget implements CandidateRule {
    @Override
    public RouteReason reason() {
        return RouteReason.WRONG_TARGET;
    }

    @Override
    public boolean rejects(EndpointView endpoint, RouteContext context) {
        return !endpoint.target().equals(context.request().target());
    }
}
