package org.wigeongrade.decisions.published;

import java.util.Optional;
import org.wigeongrade.ids.ServiceName;

/**
 * A set of endpoints that answer the same requests. Immutable; safe for use from any thread.
 *
 * @param maxConnections connections that one endpoint accepts from all callers together
 * @param coldRatePerSecond requests a second that an endpoint bears in a cold start; 0 if it has none
 * @param engine present where groups of engine VMs serve models
 */
public record PublishedService(
        ServiceName name, int maxConnections, double coldRatePerSecond, Optional<EngineProfile> engine) {}
