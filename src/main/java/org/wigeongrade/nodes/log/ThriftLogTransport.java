package org.wigeongrade.nodes.log;

import java.lang.System.Logger.Level;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.apache.thrift.protocol.TBinaryProtocol;
import org.apache.thrift.server.TThreadPoolServer;
import org.apache.thrift.transport.TServerSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.wigeongrade.decisions.log.LogMessage;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.nodes.log.thrift.LogEnvelope;
import org.wigeongrade.nodes.log.thrift.LogService;
import org.wigeongrade.nodes.log.thrift.WireMessage;

/**
 * Carries log messages between control VMs over framed Thrift on a separate port.
 *
 * <p>Invariants: messages from unknown senders are dropped; an incoming connection that is silent for longer than the
 * read timeout is closed; no message that arrives after {@link #close} is acknowledged; the port is free once
 * {@link #close} has returned, unless the accepting thread does not end in {@link #STOP_TIMEOUT_S}. Thread safe.
 */
public final class ThriftLogTransport implements LogTransport {
    private static final System.Logger LOGGER = System.getLogger(ThriftLogTransport.class.getName());
    private static final int READ_TIMEOUT_MS = 5_000;
    private static final int MAX_CONNECTIONS = 32;
    private static final int STOP_TIMEOUT_S = 1;

    private final Map<NodeName, PeerSender> senders = new ConcurrentHashMap<>();
    private final NodeName self;
    private final PeerDirectory directory;
    private final BiConsumer<NodeName, LogMessage> receiver;
    private final Server server;
    private volatile boolean closed;

    private ThriftLogTransport(
            NodeName self,
            TServerSocket serverSocket,
            PeerDirectory directory,
            BiConsumer<NodeName, LogMessage> receiver) {
        this.self = self;
        this.directory = directory;
        this.receiver = receiver;
        TThreadPoolServer.Args args = new TThreadPoolServer.Args(serverSocket)
                .processor(new LogService.Processor<LogService.Iface>(this::deliver))
                .transportFactory(new TFramedTransport.Factory())
                .protocolFactory(new TBinaryProtocol.Factory())
                .minWorkerThreads(1)
                .maxWorkerThreads(MAX_CONNECTIONS);
        args.stopTimeoutVal = STOP_TIMEOUT_S;
        this.server = new Server(args);
    }

    /**
     * Starts listening for connections; fails with CONTROL_UNAVAILABLE if it cannot listen on the address.
     */
    public static ThriftLogTransport start(
            NodeName self,
            InetSocketAddress listenAddress,
            PeerDirectory directory,
            BiConsumer<NodeName, LogMessage> receiver) {
        ThriftLogTransport transport = new ThriftLogTransport(self, listen(listenAddress), directory, receiver);
        Thread acceptor = new Thread(transport.server::serve, "log-accept");
        acceptor.setDaemon(true);
        acceptor.start();
        return transport;
    }

    @Override
    public void send(NodeName peer, LogMessage message) {
        directory
                .addressOf(peer)
                .ifPresent(address -> senders.computeIfAbsent(peer, name -> new PeerSender(self, name, address))
                        .send(message));
    }

    private void deliver(LogEnvelope envelope) throws TTransportException {
        if (closed) {
            throw new TTransportException(TTransportException.END_OF_FILE, "this control VM is stopping");
        }
        try {
            NodeName sender = NodeName.of(envelope.getSender());
            if (directory.addressOf(sender).isEmpty()) {
                LOGGER.log(Level.WARNING, "log message from {0} dropped: the sender is not a known control VM", sender);
                return;
            }
            for (WireMessage message : envelope.getMessages()) {
                receiver.accept(sender, WireCodec.decode(message));
            }
        } catch (IllegalArgumentException e) {
            LOGGER.log(Level.WARNING, "log message dropped: " + e.getMessage());
        }
    }

    private static TServerSocket listen(InetSocketAddress address) {
        try {
            return new TServerSocket(new TServerSocket.ServerSocketTransportArgs()
                    .bindAddr(address)
                    .clientTimeout(READ_TIMEOUT_MS));
        } catch (TTransportException e) {
            throw new WigeongradeException(
                    ErrorKind.CONTROL_UNAVAILABLE, "cannot listen on " + address + " for the replicated log", e);
        }
    }

    @Override
    public void close() {
        closed = true;
        senders.values().forEach(PeerSender::close);
        server.stop();
        try {
            if (!server.awaitFreePort()) {
                LOGGER.log(Level.WARNING, "the port of the log is still open {0} s after its close", STOP_TIMEOUT_S);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Accepts connections until it is stopped, also if it is stopped before it serves.
     *
     * <p>A thread that waits in {@code accept} keeps the port open after the socket was closed, until it has run once
     * more. Invariants: once {@link #stop} was called, nothing is accepted, whenever {@link #serve} begins. Thread safe.
     */
    private static final class Server extends TThreadPoolServer {
        private final CountDownLatch acceptEnded = new CountDownLatch(1);
        private volatile boolean stopRequested;

        Server(TThreadPoolServer.Args args) {
            super(args);
        }

        @Override
        public void serve() {
            try {
                super.serve();
            } finally {
                acceptEnded.countDown();
            }
        }

        @Override
        protected void execute() {
            try {
                // The superclass forgets an earlier stop when it begins to serve.
                if (!stopRequested) {
                    super.execute();
                }
            } finally {
                acceptEnded.countDown();
            }
        }

        @Override
        public void stop() {
            stopRequested = true;
            super.stop();
        }

        boolean awaitFreePort() throws InterruptedException {
            return acceptEnded.await(STOP_TIMEOUT_S, TimeUnit.SECONDS);
        }
    }
}
