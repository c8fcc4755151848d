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
 * Thrift client of one control node, for one call at a time.
 *
 * <p>Invariant: a connection on which a call failed or timed out is closed and never reused. Not thread safe.
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

    /** A call on an open connection. */
    @FunctionalInterface
    public interface Call<T> {
        T apply(FleetService.Client client) throws TException;
    }

    /** Runs a call, on a new connection if none is open, and waits for its reply. */
    public <T> T call(Call<T> call) throws TException {
        try {
            return call.apply(connectedClient());
        } catch (TException | RuntimeException e) {
            close();
            throw e;
        }
    }

    private FleetService.Client connectedClient() throws TException {
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
