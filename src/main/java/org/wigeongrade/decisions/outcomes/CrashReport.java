package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/**
 * What an entry VM tells the leader in each exchange: which requests were in flight at endpoints that were lost, and
 * which suspects completed since. Repeating a report changes nothing, so it is sent until it is acknowledged. Immutable;
 * safe for use from any thread.
 */
public record CrashReport(long sequence, Set<Loss> losses, Set<Completion> completions) {
    public CrashReport {
        losses = ImmutableSet.copyOf(losses);
        completions = ImmutableSet.copyOf(completions);
    }

    /** One request digest that was in flight at an endpoint when it was lost. */
    public record Loss(String requestDigest, EndpointLife life) {}

    /** One suspect that an endpoint answered whole: it does not crash endpoints. */
    public record Completion(String requestDigest, EndpointLife life) {}

    public boolean isEmpty() {
        return losses.isEmpty() && completions.isEmpty();
    }
}
