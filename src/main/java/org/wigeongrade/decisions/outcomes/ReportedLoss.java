package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableSet;
import java.util.Set;
import org.wigeongrade.ids.PromptPartId;

/**
 * A request that was in flight at an endpoint when its connection failed. Immutable; safe for use from any thread.
 *
 * @param promptParts parts of the request's prompt that other requests may contain as well
 * @param lostNanos when the connection failed, on the wait clock of the node that holds this object
 * @param linksDoubted whether the links of the entry node that saw it may be the cause, as it reached no endpoint
 */
public record ReportedLoss(
        EndpointIncarnation endpoint,
        String requestDigest,
        Set<PromptPartId> promptParts,
        long lostNanos,
        boolean linksDoubted) {
    public ReportedLoss {
        promptParts = ImmutableSet.copyOf(promptParts);
    }

    /** Returns this loss as seen by a node whose own links may be the cause. */
    public ReportedLoss asDoubted() {
        return new ReportedLoss(endpoint, requestDigest, promptParts, lostNanos, true);
    }
}
