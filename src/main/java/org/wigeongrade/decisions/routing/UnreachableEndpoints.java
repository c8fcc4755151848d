package org.wigeongrade.decisions.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.ids.EndpointId;

/**
 * Endpoints that recently could not be connected to. They are excluded until a deadline, so that retries and resumed
 * streams go elsewhere while the endpoint's announcement lease is still valid. After the deadline, the next request
 * routed to the endpoint tries it again.
 *
 * <p>Invariant: an entry applies to one incarnation of the endpoint only. Thread safety: all access to the table locks
 * this object, and no other lock is acquired while holding it.
 */
public final class UnreachableEndpoints {
    private record Exclusion(long incarnation, long untilNanos) {}

    private final long exclusionNanos;
    private final Map<EndpointId, Exclusion> exclusions = new HashMap<>();

    /** @param exclusionNanos how long an endpoint is excluded after a connection failure, in nanoseconds */
    public UnreachableEndpoints(long exclusionNanos) {
        this.exclusionNanos = exclusionNanos;
    }

    /** Records that a connection to the endpoint could not be opened. */
    public synchronized void recordConnectFailure(EndpointView endpoint, long nowNanos) {
        exclusions.values().removeIf(exclusion -> nowNanos - exclusion.untilNanos() >= 0);
        exclusions.put(endpoint.id(), new Exclusion(endpoint.incarnation(), nowNanos + exclusionNanos));
    }

    /** Returns whether the endpoint is currently excluded. */
    public synchronized boolean isUnreachable(EndpointView endpoint, long nowNanos) {
        final Exclusion exclusion = exclusions.get(endpoint.id());
        return exclusion != null
                && exclusion.incarnation() == endpoint.incarnation()
                && nowNanos - exclusion.untilNanos() < 0;
    }

    /** Returns the endpoints that are not currently excluded. */
    public List<EndpointView> reachable(Collection<EndpointView> endpoints, long nowNanos) {
        return endpoints.stream()
                .filter(endpoint -> !isUnreachable(endpoint, nowNanos))
                .toList();
    }
}
