package org.wigeongrade.decisions.routing;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;

/**
 * One request that needs an endpoint.
 *
 * <p>{@code prefixDigests} name the blocks of the prompt from its start, each digest covering all blocks before it.
 * {@code excluded} are endpoints that this request was tried on before. {@code alone} is set for a request that may
 * crash its endpoint. Immutable; safe for use from any thread.
 */
public record RouteRequest(
        RouteTarget target,
        List<String> prefixDigests,
        int priority,
        Set<EndpointId> excluded,
        AvailabilityZone ownZone,
        NodeName self,
        boolean alone) {
    public RouteRequest {
        prefixDigests = ImmutableList.copyOf(prefixDigests);
        excluded = ImmutableSet.copyOf(excluded);
    }

    /** Returns this request with one more endpoint excluded. */
    public RouteRequest excluding(EndpointId endpoint) {
        ImmutableSet<EndpointId> more = ImmutableSet.<EndpointId>builder()
                .addAll(excluded)
                .add(endpoint)
                .build();
        return new RouteRequest(target, prefixDigests, priority, more, ownZone, self, alone);
    }
}
