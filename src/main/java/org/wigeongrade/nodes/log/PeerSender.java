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
 * Sends one peer's messages on a worker of its own.
 *
 * <p>Invariants: a connection on which an answer is late is closed and never used again; a batch that failed on a reused
 * connection is sent once more on a new one; messages that waited while the peer could not be reached are dropped. {@link #send} is thread safe and never blocks.
 */
final class PeerSender implements AutoCloseable {
    private static final System.Logger LOGGER = System.getLogger(PeerSender.class.getName());
    private static final int CONNECT_TIMEOUT_MS = 300;
    private static final int ANSWER_TIMEOUT_MS = 300;
    private static final long IDLE_CLOSE_MS = 2_000;
    private static final long CLOSE_WAIT_MS = 300;
    private static final long RETRY_PAUSE_MS = 50;

    private final NodeName self;
    private final NodeName peer;
    private final InetSocketAddress address;
    private final PeerQueue queue = new PeerQueue();
    private final Thread worker;
    private Optional<TSocket> socket = Optional.empty();
    private Optional<LogService.Client> client = Optional.empty();
    private boolean reachable = true;

    PeerSender(NodeName self, NodeName peer, InetSocketAddress address) {
        this.self = self;
        this.peer = peer;
        this.address = address;
        this.worker = new Thread(this::run, "log-send-" + peer);
        worker.setDaemon(true);
        worker.start();
    }

    void send(LogMessage message) {
        queue.add(message);
    }

    private void run() {
        try {
            List<LogMessage> batch = queue.take(IDLE_CLOSE_MS);
            while (!batch.isEmpty() || !queue.isClosed()) {
                deliver(batch);
                batch = queue.take(IDLE_CLOSE_MS);
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

    /** Sends on the open connection or on a new one; closes it if that fails. */
    private boolean attempt(List<LogMessage> batch) {
        try {
            connected()
                    .deliver(new LogEnvelope(
                            self.value(), batch.stream().map(WireCodec::encode).toList()));
            noteReachable(true, "answers");
            return true;
        } catch (TException e) {
            noteReachable(false, String.valueOf(e.getMessage()));
            disconnect();
            return false;
        }
    }

    private LogService.Client connected() throws TException {
        if (client.isPresent()) {
            return client.get();
        }
        TSocket opened = new TSocket(
                LogFrames.CONFIGURATION,
                address.getHostString(),
                address.getPort(),
                ANSWER_TIMEOUT_MS,
                CONNECT_TIMEOUT_MS);
        opened.open();
        socket = Optional.of(opened);
        LogService.Client created = new LogService.Client(new TBinaryProtocol(new TFramedTransport(opened)));
        client = Optional.of(created);
        return created;
    }

    private void disconnect() {
        socket.ifPresent(TSocket::close);
        socket = Optional.empty();
        client = Optional.empty();
    }

    private void noteReachable(boolean now, String detail) {
        if (now != reachable) {
            reachable = now;
            LOGGER.log(now ? Level.INFO : Level.WARNING, "control VM {0} at {1}: {2}", peer, address, detail);
        }
    }

    /** Sends what waits, for a bounded time, then ends the worker. */
    @Override
    public void close() {
        queue.close();
        try {
            worker.join(CLOSE_WAIT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        worker.interrupt();
    }
}
