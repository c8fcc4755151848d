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

/** A Thrift transport that can drop everything in silence, and counts what it sends. Thread safe. */
final class CuttableTransport implements LogTransport {
    private final ThriftLogTransport transport;
    private final AtomicLong sentMessages = new AtomicLong();
    private volatile BiConsumer<NodeName, LogMessage> receiver = (from, message) -> {};
    private volatile boolean cut;

    CuttableTransport(NodeName self, InetSocketAddress listenAddress, Map<NodeName, InetSocketAddress> peers) {
        this.transport = ThriftLogTransport.start(self, listenAddress, PeerDirectory.of(peers), this::receive);
    }

    void connect(BiConsumer<NodeName, LogMessage> target) {
        receiver = target;
    }

    void cutOff(boolean now) {
        cut = now;
    }

    boolean isCutOff() {
        return cut;
    }

    long sentMessages() {
        return sentMessages.get();
    }

    @Override
    public void send(NodeName peer, LogMessage message) {
        if (!cut) {
            sentMessages.incrementAndGet();
            transport.send(peer, message);
        }
    }

    private void receive(NodeName from, LogMessage message) {
        if (!cut) {
            receiver.accept(from, message);
        }
    }

    @Override
    public void close() {
        transport.close();
    }
}
