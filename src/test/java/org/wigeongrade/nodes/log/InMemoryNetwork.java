package org.wigeongrade.nodes.log;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.ids.NodeName;

/** Delivers messages between replicas in one process; nodes can be cut off. Thread safe. */
final class InMemoryNetwork {
    private final Map<NodeName, RaftReplicatedLog> replicas = new ConcurrentHashMap<>();
    private final Set<NodeName> cutOff = ConcurrentHashMap.newKeySet();

    void join(NodeName name, RaftReplicatedLog replica) {
        replicas.put(name, replica);
    }

    void cutOff(NodeName name) {
        cutOff.add(name);
    }

    void heal() {
        cutOff.clear();
    }

    LogTransport transportOf(NodeName self) {
        return new LogTransport() {
            @Override
            public void send(NodeName peer, LogMessage message) {
                RaftReplicatedLog target = replicas.get(peer);
                if (target != null && !cutOff.contains(self) && !cutOff.contains(peer)) {
                    target.receive(self, message);
                }
            }

            @Override
            public void close() {
                replicas.remove(self);
            }
        };
    }
}
