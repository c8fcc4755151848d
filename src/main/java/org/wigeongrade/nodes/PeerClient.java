package org.wigeongrade.nodes;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.nodes.thrift.NodeFailure;
import org.wigeongrade.nodes.thrift.NodeService;

/**
 * Calls the node service of one other process.
 *
 * <p>Invariant: a connection on which a call failed without a reply is closed and never used again, and every read
 * has a timeout, so a peer that no longer replies delays a call by one timeout at most. Thread safe; each call uses a
 * connection exclusively, and {@code idle} is guarded by this object's lock, which is never held during a call.
 */
public final class PeerClient {
    private static final int MAX_IDLE_CONNECTIONS = 4;

    private final InetSocketAddress address;
    private final int connectTimeoutMs;
    private final Deque<Connection> idle = new ArrayDeque<>();

    public PeerClient(InetSocketAddress address, int connectTimeoutMs) {
        this.address = address;
        this.connectTimeoutMs = connectTimeoutMs;
    }

    /** A call on an open connection. */
    @FunctionalInterface
    public interface Call<T> {
        T apply(NodeService.Client client) throws TException;
    }

    /**
     * Runs a call and waits for the reply.
     *
     * @param readTimeoutMs the longest time to wait for the reply, in milliseconds
     * @throws WigeongradeException with the peer's error kind if the peer returned an error; CONTROL_UNAVAILABLE if no
     *     connection could be opened, so that the call did not run; OUTCOME_UNKNOWN if the connection failed after that
     */
    public <T> T call(int readTimeoutMs, Call<T> call) {
        final Connection connection = acquire(readTimeoutMs);
        try {
            final T reply = call.apply(connection.client);
            release(connection);
            return reply;
        } catch (NodeFailure failure) {
            release(connection);
            throw new WigeongradeException(
                    ErrorKind.valueOf(failure.getKind()), failure.getMessage(), failure.getRetryAfterMs(), failure);
        } catch (TException failure) {
            connection.socket.close();
            close();
            throw new WigeongradeException(
                    ErrorKind.OUTCOME_UNKNOWN, "call to " + address + " failed: " + failure.getMessage(), failure);
        }
    }

    /** Closes every idle connection. */
    public synchronized void close() {
        idle.forEach(connection -> connection.socket.close());
        idle.clear();
    }

    private Connection acquire(int readTimeoutMs) {
        synchronized (this) {
            final Connection pooled = idle.pollFirst();
            if (pooled != null) {
                pooled.socket.setTimeout(readTimeoutMs);
                return pooled;
            }
        }
        return open(readTimeoutMs);
    }

    private Connection open(int readTimeoutMs) {
        try {
            final TSocket socket = new TSocket(address.getHostString(), address.getPort());
            socket.setConnectTimeout(connectTimeoutMs);
            socket.setSocketTimeout(readTimeoutMs);
            final TFramedTransport transport = new TFramedTransport(socket, NodeServer.MAX_FRAME_BYTES);
            transport.open();
            return new Connection(socket, new NodeService.Client(new TCompactProtocol(transport)));
        } catch (TTransportException failure) {
            throw new WigeongradeException(
                    ErrorKind.CONTROL_UNAVAILABLE,
                    "cannot connect to " + address + ": " + failure.getMessage(),
                    failure);
        }
    }

    private synchronized void release(Connection connection) {
        if (idle.size() < MAX_IDLE_CONNECTIONS) {
            idle.addFirst(connection);
            return;
        }
        connection.socket.close();
    }

    private record Connection(TSocket socket, NodeService.Client client) {}
}
