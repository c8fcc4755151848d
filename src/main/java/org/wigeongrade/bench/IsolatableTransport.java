package org.wigeongrade.bench;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.LogTransport;
import org.wigeongrade.nodes.log.PeerDirectory;
import org.wigeongrade.nodes.log.ThriftLogTransport;

/** A Thrift transport that can silently drop all messages and that counts the messages it sends. Thread-safe. */
final class IsolatableTransport implements LogTransport {
    private final ThriftLogTransport transport;
    private final AtomicLong sentMessages = new AtomicLong();
    private volatile BiConsumer<NodeName, LogMessage> receiver = (from, message) -> {};
    private volatile boolean isolated;

    IsolatableTransport(NodeName self, InetSocketAddress listenAddress, Map<NodeName, InetSocketAddress> peers) {
        this.transport = ThriftLogTransport.start(self, listenAddress, PeerDirectory.of(peers), this::receive);
    }

    void setReceiver(BiConsumer<NodeName, LogMessage> newReceiver) {
        receiver = newReceiver;
    }

    void setIsolated(boolean newValue) {
        isolated = newValue;
    }

    boolean isIsolated() {
        return isolated;
    }

    long sentMessages() {
        return sentMessages.get();
    }

    @Override
    public void send(NodeName peer, LogMessage message) {
        if (!isolated) {
            sentMessages.incrementAndGet();
            transport.send(peer, message);
        }
    }

    private void receive(NodeName from, LogMessage message) {
        if (!isolated) {
            receiver.accept(from, message);
        }
    }

    @Override
    public void close() {
        transport.close();
    }
}
