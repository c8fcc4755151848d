package org.wigeongrade.nodes.log;

import java.util.function.BiConsumer;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.ids.NodeName;

/** Hands messages to a replica that is made after its transport; drops those that come earlier. Thread safe. */
final class LateReceiver implements BiConsumer<NodeName, LogMessage> {
    private volatile RaftReplicatedLog log;

    void connect(RaftReplicatedLog made) {
        log = made;
    }

    @Override
    public void accept(NodeName from, LogMessage message) {
        RaftReplicatedLog connected = log;
        if (connected != null) {
            connected.receive(from, message);
        }
    }
}
