package org.wigeongrade.nodes.log;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import org.wigeongrade.decisions.log.CoreSettings;
import org.wigeongrade.decisions.log.LogTimings;
import org.wigeongrade.ids.NodeName;

/**
 * Settings of one control VM's replica. Immutable; safe for use from any thread.
 *
 * @param self this node
 * @param folder the data folder; one process holds it at a time
 * @param listenAddress where the other control VMs reach this one
 * @param peers the other control VMs; the same set on all of them, each with its own left out
 * @param compactAfterEntries how many entries are applied between two snapshots
 */
public record LogSettings(
        NodeName self,
        Path folder,
        InetSocketAddress listenAddress,
        ImmutableMap<NodeName, InetSocketAddress> peers,
        LogTimings timings,
        long compactAfterEntries) {
    private static final long DEFAULT_COMPACT_AFTER_ENTRIES = 10_000;

    /** Returns settings with the default timings and 10,000 entries between snapshots. */
    public static LogSettings of(
            NodeName self, Path folder, InetSocketAddress listenAddress, Map<NodeName, InetSocketAddress> peers) {
        return new LogSettings(
                self,
                folder,
                listenAddress,
                ImmutableMap.copyOf(peers),
                LogTimings.DEFAULT,
                DEFAULT_COMPACT_AFTER_ENTRIES);
    }

    CoreSettings coreSettings() {
        ImmutableSortedSet<NodeName> voters = ImmutableSortedSet.<NodeName>naturalOrder()
                .addAll(peers.keySet())
                .add(self)
                .build();
        return new CoreSettings(self, voters, timings);
    }
}
