package org.wigeongrade.decisions.balancing;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmName;

/**
 * The properties of a request that decide where it is sent. Immutable; safe for use from any thread.
 *
 * @param promptTokens tokens of the prompt; 0 for a plain service
 * @param targetLatencyMs maximum predicted time to the first event or response at which the request is admitted
 * @param targetPauseMs maximum pause between two events that counts as on time; 0 where nothing is streamed
 * @param remainingMs time until the caller gives up
 * @param tried endpoints that the request has already been sent to
 * @param mayHaveStarted whether an endpoint may have started the request; refusing it now would waste that work
 * @param zone availability zone of the entry node
 */
public record PlacementRequest(
        int promptTokens,
        long targetLatencyMs,
        long targetPauseMs,
        long remainingMs,
        Set<VmName> tried,
        boolean mayHaveStarted,
        AvailabilityZone zone) {
    public PlacementRequest {
        tried = ImmutableSet.copyOf(tried);
    }
}
