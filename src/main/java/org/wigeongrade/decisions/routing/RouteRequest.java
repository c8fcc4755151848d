package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;

/**
 * A request that needs an endpoint.
 *
 * <p>{@code prefixDigests} identify the blocks of the prompt from its start; each digest covers its block and all
 * earlier ones. {@code excluded} are the endpoints on which this request was tried before. {@code isolated} is set for
 * a request that may crash its endpoint and so must run there on its own. Immutable; safe for use from any thread.
 */
public record RouteRequest(
        RouteTarget target,
        List<String> prefixDigests,
        int priority,
        Set<EndpointId> excluded,
        AvailabilityZone ownZone,
        NodeName self,
        boolean isolated) {
    public RouteRequest {
        prefixDigests = ImmutableList.copyOf(prefixDigests);
        excluded = ImmutableSet.copyOf(excluded);
    }

    /** Returns a copy of this request with one more endpoint excluded. */
    public RouteRequest excluding(EndpointId endpoint) {
        ImmutableSet<EndpointId> extended = ImmutableSet.<EndpointId>builder()
                .addAll(excluded)
                .add(endpoint)
                .build();
        return new RouteRequest(target, prefixDigests, priority, extended, ownZone, self, isolated);
    }
}
