package org.wigeongrade.decisions.routing;

import java.util.Optional;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.NodeName;

/**
 * What an entry VM knows of one endpoint: a complete group, or a replica of a plain service.
 *
 * <p>{@code incarnation} is that of the endpoint process that receives the requests. {@code servingDeadline} is
 * the end of the serving lease, never later than the earliest announcement lease of the
 * group's members. {@code coldHolder} is the only entry VM that may send while the endpoint is cold. Immutable; safe
 * for use from any thread.
 */
public record EndpointView(
        EndpointId id,
        long incarnation,
        RouteTarget target,
        AvailabilityZone zone,
        boolean zoneTakesNewWork,
        boolean leaving,
        String address,
        int capacity,
        int coldCapacity,
        boolean cold,
        Optional<NodeName> coldHolder,
        LeaseTime servingDeadline,
        LoadReport load,
        FencingToken fencingToken) {
    /** Returns the number of requests in flight that the endpoint can handle now, at least 1. */
    public int currentCapacity() {
        return Math.max(1, cold ? coldCapacity : capacity);
    }
}
