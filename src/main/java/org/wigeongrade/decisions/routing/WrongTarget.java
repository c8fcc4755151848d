package org.wigeongrade.decisions.routing;

/** Rejects an endpoint that serves another model version or service, so its response would not answer this request. */
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
