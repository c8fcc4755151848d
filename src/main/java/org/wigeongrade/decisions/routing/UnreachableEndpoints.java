package org.wigeongrade.decisions.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.ids.EndpointId;

/**
 * Endpoints that refused a connection lately. They are left out until a deadline, so that retries and resumed streams
 * go elsewhere while the endpoint's announcement lease still runs; one send after the deadline tries it again.
 *
 * <p>Invariant: an entry holds for one incarnation of the endpoint only. Thread safety: all methods lock the table, which
 * is a leaf: nothing else is locked inside.
 */
public final class UnreachableEndpoints {
    private record Refusal(long incarnation, long untilNanos) {}

    private final long leaveOutNanos;
    private final Map<EndpointId, Refusal> refusals = new HashMap<>();

    /** @param leaveOutNanos time for which an endpoint is left out after a refused connection, in nanoseconds */
    public UnreachableEndpoints(long leaveOutNanos) {
        this.leaveOutNanos = leaveOutNanos;
    }

    /** Notes that a connection to the endpoint could not be opened. */
    public synchronized void refused(EndpointView endpoint, long nowNanos) {
        refusals.values().removeIf(refusal -> nowNanos - refusal.untilNanos() >= 0);
        refusals.put(endpoint.id(), new Refusal(endpoint.incarnation(), nowNanos + leaveOutNanos));
    }

    /** Returns whether the endpoint is left out now. */
    public synchronized boolean isUnreachable(EndpointView endpoint, long nowNanos) {
        final Refusal refusal = refusals.get(endpoint.id());
        return refusal != null
                && refusal.incarnation() == endpoint.incarnation()
                && nowNanos - refusal.untilNanos() < 0;
    }

    /** Returns the endpoints that are not left out now. */
    public List<EndpointView> reachable(Collection<EndpointView> endpoints, long nowNanos) {
        return endpoints.stream()
                .filter(endpoint -> !isUnreachable(endpoint, nowNanos))
                .toList();
    }
}
