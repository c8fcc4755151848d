package org.wigeongrade.decisions.routing;

import org.wigeongrade.ids.ModelVersionName;
import org.wigeongrade.ids.ServiceName;

/** What a request asks for: a model version or a plain service. Immutable; safe for use from any thread. */
public record RouteTarget(EndpointKind kind, String name) {
    /** Returns the target of requests for a model version. */
    public static RouteTarget of(ModelVersionName modelVersion) {
        return new RouteTarget(EndpointKind.ENGINE, modelVersion.value());
    }

    /** Returns the target of requests for a plain service. */
    public static RouteTarget of(ServiceName service) {
        return new RouteTarget(EndpointKind.SERVICE, service.value());
    }

    @Override
    public String toString() {
        return kind.code() + "/" + name;
    }
}
