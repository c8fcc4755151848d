package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableSortedSet;
import org.wigeongrade.ids.NodeName;

/**
 * Fixed settings of one replica.
 *
 * <p>Invariant: {@code configuredVoters} are the nodes that start a new log together and are the same on all of them; a
 * node that is not among them never starts one. Immutable; safe for use from any thread.
 */
public record CoreSettings(
        NodeName self, ImmutableSortedSet<NodeName> configuredVoters, VoterPolicy voterPolicy, LogTimings timings) {

    /** Returns the settings of a node whose peers are all configured. */
    public static CoreSettings configured(
            NodeName self, ImmutableSortedSet<NodeName> configuredVoters, LogTimings timings) {
        if (!configuredVoters.contains(self)) {
            throw new IllegalArgumentException("node " + self + " is not among the configured control VMs; add it");
        }
        return new CoreSettings(self, configuredVoters, VoterPolicy.ALL_CONFIGURED, timings);
    }

    /** Returns whether this is the one node that may bootstrap a brand-new cluster: the first by name. */
    boolean isBootstrapper() {
        return !configuredVoters.isEmpty() && configuredVoters.first().equals(self);
    }
}
