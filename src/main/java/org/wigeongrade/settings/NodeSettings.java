package org.wigeongrade.settings;

import com.google.common.collect.ImmutableList;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/**
 * Settings of one node, validated as a whole.
 *
 * <p>{@code listen} serves callers, endpoints and operators over HTTP, {@code peerListen} serves the other nodes over
 * Thrift, and {@code logListen} serves the replicated log.
 *
 * <p>Invariant: {@code logListen} and {@code dataFolder} are both present (a control VM) or both absent; {@code peers}
 * holds every node of the fleet, including this one, and 1, 3 or 5 of them are control VMs. Immutable; safe for use
 * from any thread.
 */
public record NodeSettings(
        NodeName name,
        AvailabilityZone availabilityZone,
        NodeAddress listen,
        NodeAddress peerListen,
        Optional<NodeAddress> logListen,
        Optional<Path> dataFolder,
        Optional<String> endpointGatewayIp,
        NodeLimits limits,
        List<PeerSettings> peers) {
    public NodeSettings {
        peers = ImmutableList.copyOf(peers);
    }

    /** Returns whether this node runs the control role. */
    public boolean isControl() {
        return logListen.isPresent();
    }

    /** Returns the nodes that run the control role. */
    public ImmutableList<PeerSettings> controlPeers() {
        return peers.stream().filter(PeerSettings::isControl).collect(ImmutableList.toImmutableList());
    }

    /** Returns every node except this one. */
    public ImmutableList<PeerSettings> otherPeers() {
        return peers.stream().filter(peer -> !peer.name().equals(name)).collect(ImmutableList.toImmutableList());
    }

    /** Returns the named node; empty if the fleet has no such node. */
    public Optional<PeerSettings> peer(NodeName peerName) {
        return peers.stream().filter(peer -> peer.name().equals(peerName)).findFirst();
    }
}
