package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * What an entry VM tells the leader in each exchange: which requests were in flight at endpoints that were lost, and
 * which suspect requests have completed since. Applying a report twice has no effect, so it is sent until it is
 * acknowledged. Immutable; safe for use from any thread.
 */
public record CrashReport(long sequence, Set<ReportedLoss> losses, Set<Completion> completions) {
    public CrashReport {
        losses = ImmutableSet.copyOf(losses);
        completions = ImmutableSet.copyOf(completions);
    }

    /**
     * The digest of a suspect request for which an endpoint returned a complete response, which shows that it does not
     * crash endpoints.
     */
    public record Completion(String requestDigest, EndpointIncarnation incarnation) {}

    public boolean isEmpty() {
        return losses.isEmpty() && completions.isEmpty();
    }
}
