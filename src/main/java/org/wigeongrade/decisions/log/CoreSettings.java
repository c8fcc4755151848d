package org.wigeongrade.decisions.log;

import com.google.common.collect.ImmutableSortedSet;
import org.wigeongrade.ids.NodeName;

/**
 * Fixed settings of one replica.
 *
 * <p>Invariant: {@code configuredVoters} are the nodes that bootstrap a new log together. The set is the same on each
 * of them, and a node outside the set never bootstraps a log. Immutable; safe for use from any thread.
 */
public record CoreSettings(
        NodeName self, ImmutableSortedSet<NodeName> configuredVoters, VoterPolicy voterPolicy, LogTimings timings) {

    /**
     * Returns the settings of a node in a cluster whose voters are exactly the configured nodes; throws {@link
     * IllegalArgumentException} if the node is not one of them.
     */
    public static CoreSettings configured(
            NodeName self, ImmutableSortedSet<NodeName> configuredVoters, LogTimings timings) {
        if (!configuredVoters.contains(self)) {
            throw new IllegalArgumentException("node " + self + " is not among the configured control VMs; add it");
        }
        return new CoreSettings(self, configuredVoters, VoterPolicy.ALL_CONFIGURED, timings);
    }

    /**
     * Returns whether this node, the first of the configured voters by name, is the one that may bootstrap a new
     * cluster.
     */
    boolean isBootstrapper() {
        return !configuredVoters.isEmpty() && configuredVoters.first().equals(self);
    }
}
