package org.wigeongrade.nodes.log;

import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.ids.NodeName;

/** Carries messages between the replicas. Messages may be lost, delayed, repeated or reordered. Thread safe. */
public interface LogTransport extends AutoCloseable {
    /** Queues a message for sending; never blocks. */
    void send(NodeName peer, LogMessage message);

    @Override
    void close();
}
