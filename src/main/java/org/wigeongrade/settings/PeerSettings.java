package org.wigeongrade.settings;

import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * Name and addresses by which the other nodes of the fleet reach one node. {@code logAddress} is present on control VMs
 * only. Immutable; safe for use from any thread.
 */
public record PeerSettings(NodeName name, NodeAddress peerAddress, Optional<NodeAddress> logAddress) {
    /** Returns whether this node runs the control role. */
    public boolean isControl() {
        return logAddress.isPresent();
    }
}
