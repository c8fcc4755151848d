package org.wigeongrade.decisions.outcomes;

import com.google.common.collect.ImmutableSet;
import java.util.Set;

/** Proposes that a request digest be refused fleet-wide. Immutable; safe for use from any thread. */
public record QuarantineProposal(String requestDigest, Set<EndpointIncarnation> endpointsLost) {
    public QuarantineProposal {
        endpointsLost = ImmutableSet.copyOf(endpointsLost);
    }

    /** Returns the reason shown to operators. */
    public String reason() {
        return "request " + requestDigest + " was in flight at each of the endpoints " + endpointsLost
                + " when it was lost";
    }
}
