package org.wigeongrade.decisions.published;

import java.util.Optional;
import org.wigeongrade.ids.ServiceName;

/**
 * A set of interchangeable endpoints. Immutable; safe for use from any thread.
 *
 * @param maxConnections maximum number of connections that one endpoint accepts, over all its callers
 * @param coldRatePerSecond requests per second that an endpoint can handle during its cold start; 0 if it has none
 * @param healthPath path of the endpoints' health check; empty if they have none
 * @param engine present if groups of engine VMs serve the models of this service
 */
public record PublishedService(
        ServiceName name,
        int maxConnections,
        double coldRatePerSecond,
        Optional<String> healthPath,
        Optional<EngineProfile> engine) {}
