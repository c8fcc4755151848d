package org.wigeongrade.nodes.log;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Maps the name of another control VM to the address that its log listens on. Implementations are safe for use from any
 * thread and always return the same result for a name.
 */
@FunctionalInterface
public interface PeerDirectory {
    /** Returns the address, or empty if the name is not that of a control VM. */
    Optional<InetSocketAddress> addressOf(NodeName peer);

    /** Returns a directory of a fixed set of peers. */
    static PeerDirectory of(Map<NodeName, InetSocketAddress> peers) {
        final ImmutableMap<NodeName, InetSocketAddress> fixed = ImmutableMap.copyOf(peers);
        return peer -> Optional.ofNullable(fixed.get(peer));
    }
}
