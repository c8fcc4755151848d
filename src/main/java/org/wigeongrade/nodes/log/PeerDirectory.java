package org.wigeongrade.nodes.log;

import com.google.common.collect.ImmutableMap;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Tells where the log of another control VM listens; empty for a name that is no control VM. Implementations are safe
 * for use from any thread and always give the same answer for a name.
 */
@FunctionalInterface
public interface PeerDirectory {
    Optional<InetSocketAddress> addressOf(NodeName peer);

    /** Returns the directory of a fixed list of peers. */
    static PeerDirectory of(Map<NodeName, InetSocketAddress> peers) {
        final ImmutableMap<NodeName, InetSocketAddress> fixed = ImmutableMap.copyOf(peers);
        return peer -> Optional.ofNullable(fixed.get(peer));
    }
}
