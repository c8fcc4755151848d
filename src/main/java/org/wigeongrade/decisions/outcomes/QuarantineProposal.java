package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/** Asks for a request digest to be refused fleet-wide. Immutable; safe for use from any thread. */
public record QuarantineProposal(String requestDigest, Set<EndpointLife> endpointsLost) {
    public QuarantineProposal {
        endpointsLost = ImmutableSet.copyOf(endpointsLost);
    }

    /** Returns the reason for operators. */
    public String reason() {
        return "request " + requestDigest + " was running at " + endpointsLost + " when each was lost";
    }
}
