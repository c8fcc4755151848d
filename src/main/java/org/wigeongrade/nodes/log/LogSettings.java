package org.wigeongrade.nodes.log;

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
 * @param core the node's name, the nodes that bootstrap a new log, and timings
 * @param folder the data folder; only one process at a time may use it
 * @param listenAddress the address at which the other control VMs reach this one
 * @param directory the addresses that the other control VMs listen on
 * @param compactAfterEntries the number of entries applied between two snapshots
 */
public record LogSettings(
        CoreSettings core,
        Path folder,
        InetSocketAddress listenAddress,
        PeerDirectory directory,
        long compactAfterEntries) {
    /**
     * The default number of entries between two snapshots: about 3 MB of small commands, see
     * docs/design/replicated-log.md.
     */
    public static final long DEFAULT_COMPACT_AFTER_ENTRIES = 10_000;

    /** Returns settings for a fixed set of peers, with the default timings and 10,000 entries between snapshots. */
    public static LogSettings of(
            NodeName self, Path folder, InetSocketAddress listenAddress, Map<NodeName, InetSocketAddress> peers) {
        return ofPeers(self, folder, listenAddress, peers, LogTimings.DEFAULT, DEFAULT_COMPACT_AFTER_ENTRIES);
    }

    /** Returns settings for a fixed set of peers, which does not contain this node itself. */
    public static LogSettings ofPeers(
            NodeName self,
            Path folder,
            InetSocketAddress listenAddress,
            Map<NodeName, InetSocketAddress> peers,
            LogTimings timings,
            long compactAfterEntries) {
        ImmutableSortedSet<NodeName> voters = ImmutableSortedSet.<NodeName>naturalOrder()
                .addAll(peers.keySet())
                .add(self)
                .build();
        return new LogSettings(
                CoreSettings.configured(self, voters, timings),
                folder,
                listenAddress,
                PeerDirectory.of(peers),
                compactAfterEntries);
    }
}
