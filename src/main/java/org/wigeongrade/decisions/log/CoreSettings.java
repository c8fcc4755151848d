package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableSortedSet;
import org.wigeongrade.ids.NodeName;

/**
 * Fixed settings of one replica.
 *
 * <p>Invariant: the configured voters are the same on all control VMs. Immutable; safe for use from any thread.
 */
public record CoreSettings(NodeName self, ImmutableSortedSet<NodeName> configuredVoters, LogTimings timings) {
    public CoreSettings {
        if (!configuredVoters.contains(self)) {
            throw new IllegalArgumentException("node " + self + " is not among the configured control VMs; add it");
        }
    }

    /** Returns the one node that may bootstrap a brand-new cluster: the first by name. */
    NodeName bootstrapper() {
        return configuredVoters.first();
    }
}
