package org.wigeongrade.nodes.log;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.thrift.LogEnvelope;
import org.wigeongrade.nodes.log.thrift.LogService;

/**
 * Sends messages to one peer on a dedicated thread.
 *
 * <p>Invariants: a connection on which a reply times out is closed and never used again; a batch that failed on a
 * reused connection is sent once more on a new one; messages that were queued while the peer could not be reached are
 * dropped. {@link #send} is thread safe and never blocks.
 */
final class PeerSender implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(PeerSender.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 300;
    private static final int REPLY_TIMEOUT_MS = 300;
    private static final long IDLE_TIMEOUT_MS = 2_000;
    private static final long STOP_TIMEOUT_MS = 300;
    private static final long RETRY_PAUSE_MS = 50;

    private final NodeName self;
    private final NodeName peer;
    private final InetSocketAddress address;
    private final PeerQueue queue = new PeerQueue();
    private final Thread thread;
    private Optional<TSocket> socket = Optional.empty();
    private Optional<LogService.Client> client = Optional.empty();
    private boolean reachable = true;

    PeerSender(NodeName self, NodeName peer, InetSocketAddress address) {
        this.self = self;
        this.peer = peer;
        this.address = address;
        this.thread = new Thread(this::run, "log-send-" + peer);
        thread.setDaemon(true);
        thread.start();
    }

    void send(LogMessage message) {
        queue.add(message);
    }

    private void run() {
        try {
            List<LogMessage> batch = queue.take(IDLE_TIMEOUT_MS);
            while (!batch.isEmpty() || !queue.isClosed()) {
                deliver(batch);
                batch = queue.take(IDLE_TIMEOUT_MS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            disconnect();
        }
    }

    private void deliver(List<LogMessage> batch) throws InterruptedException {
        if (batch.isEmpty()) {
            disconnect();
            return;
        }
        boolean reused = client.isPresent();
        boolean delivered = attempt(batch) || (reused && attempt(batch));
        if (!delivered) {
            queue.clear();
            Thread.sleep(RETRY_PAUSE_MS);
        }
    }

    /**
     * Sends the batch on the open connection or a new one, and closes the connection if that fails. Returns whether the
     * peer replied.
     */
    private boolean attempt(List<LogMessage> batch) {
        try {
            connectedClient()
                    .deliver(new LogEnvelope(
                            self.value(), batch.stream().map(WireCodec::encode).toList()));
            setReachable(true, "reachable again");
            return true;
        } catch (TException e) {
            setReachable(false, String.valueOf(e.getMessage()));
            disconnect();
            return false;
        }
    }

    private LogService.Client connectedClient() throws TException {
        if (client.isPresent()) {
            return client.get();
        }
        TSocket newSocket = new TSocket(
                LogFrameLimits.CONFIGURATION,
                address.getHostString(),
                address.getPort(),
                REPLY_TIMEOUT_MS,
                CONNECT_TIMEOUT_MS);
        newSocket.open();
        socket = Optional.of(newSocket);
        LogService.Client newClient = new LogService.Client(new TBinaryProtocol(new TFramedTransport(newSocket)));
        client = Optional.of(newClient);
        return newClient;
    }

    private void disconnect() {
        socket.ifPresent(TSocket::close);
        socket = Optional.empty();
        client = Optional.empty();
    }

    private void setReachable(boolean reachableNow, String detail) {
        if (reachableNow != reachable) {
            reachable = reachableNow;
            LOGGER.log(reachableNow ? Level.INFO : Level.WARNING, "control VM {0} at {1}: {2}", peer, address, detail);
        }
    }

    /** Sends the queued messages for a bounded time, then stops the thread. */
    @Override
    public void close() {
        queue.close();
        try {
            thread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        thread.interrupt();
    }
}
