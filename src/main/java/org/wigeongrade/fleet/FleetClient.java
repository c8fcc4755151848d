package org.wigeongrade.fleet;

import java.net.InetSocketAddress;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.wigeongrade.fleet.thrift.FleetService;
import org.wigeongrade.nodes.NodeServer;

/**
 * Calls one control node, one call at a time.
 *
 * <p>Invariant: a connection that saw a failure or a late answer is closed and never used again. Not thread safe.
 */
public final class FleetClient implements AutoCloseable {
    private final InetSocketAddress address;
    private final int readTimeoutMs;
    private Optional<TSocket> socket = Optional.empty();
    private Optional<FleetService.Client> client = Optional.empty();

    public FleetClient(InetSocketAddress address, int readTimeoutMs) {
        this.address = address;
        this.readTimeoutMs = readTimeoutMs;
    }

    /** One call on an open connection. */
    @FunctionalInterface
    public interface Call<T> {
        T apply(FleetService.Client client) throws TException;
    }

    /** Runs a call and waits for its answer. */
    public <T> T call(Call<T> call) throws TException {
        try {
            return call.apply(connected());
        } catch (TException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private FleetService.Client connected() throws TException {
        if (client.isPresent()) {
            return client.get();
        }
        final TSocket opened = new TSocket(address.getHostString(), address.getPort());
        opened.setConnectTimeout(FleetTimings.CONNECT_TIMEOUT_MS);
        opened.setSocketTimeout(readTimeoutMs);
        final TFramedTransport transport = new TFramedTransport(opened, NodeServer.MAX_FRAME_BYTES);
        transport.open();
        socket = Optional.of(opened);
        client = Optional.of(new FleetService.Client(new TCompactProtocol(transport)));
        return client.get();
    }

    @Override
    public void close() {
        socket.ifPresent(TSocket::close);
        socket = Optional.empty();
        client = Optional.empty();
    }
}
