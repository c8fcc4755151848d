package org.wigeongrade.decisions.balancing;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.VmName;

/**
 * What decides where a request goes. Immutable; safe for use from any thread.
 *
 * @param promptTokens tokens to read; 0 for a plain service
 * @param targetLatencyMs time to the first event or answer that counts as on time
 * @param targetPauseMs longest pause between two events that counts as on time; 0 where nothing is streamed
 * @param remainingMs time until the caller gives up
 * @param tried endpoints that the request was sent to before
 * @param begun whether an endpoint may have worked on the request; giving it up would waste that
 * @param zone availability zone of this entry node
 */
public record BalancedRequest(
        int promptTokens,
        long targetLatencyMs,
        long targetPauseMs,
        long remainingMs,
        Set<VmName> tried,
        boolean begun,
        AvailabilityZone zone) {
    public BalancedRequest {
        tried = ImmutableSet.copyOf(tried);
    }
}
