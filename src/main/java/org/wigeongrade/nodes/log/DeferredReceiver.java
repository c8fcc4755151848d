package org.wigeongrade.nodes.log;

import java.util.function.BiConsumer;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.ids.NodeName;

/**
 * Forwards messages to a replica that is created after its transport; drops messages that arrive earlier. Thread safe.
 */
final class DeferredReceiver implements BiConsumer<NodeName, LogMessage> {
    private volatile RaftReplicatedLog log;

    void connect(RaftReplicatedLog replica) {
        log = replica;
    }

    @Override
    public void accept(NodeName from, LogMessage message) {
        RaftReplicatedLog connected = log;
        if (connected != null) {
            connected.receive(from, message);
        }
    }
}
