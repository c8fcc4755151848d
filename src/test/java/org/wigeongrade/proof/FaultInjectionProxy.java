package org.wigeongrade.proof;

import com.google.common.util.concurrent.Uninterruptibles;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * TCP proxy between two VMs that injects network faults.
 *
 * <p>Invariant: a black-holed connection never forwards bytes again, as when a middlebox has lost its state. Safe for
 * use from any thread.
 */
public final class FaultInjectionProxy implements AutoCloseable {
    /** How connections are treated. */
    public enum Mode {
        /** All bytes are forwarded. */
        FORWARD,
        /** Bytes arrive late. */
        DELAY,
        /** Bytes to the target are dropped; those from it are forwarded. */
        DROP_TO_TARGET,
        /** Bytes are dropped in both directions without a reset, on open and new connections. */
        BLACKHOLE,
        /** Connections are reset. */
        RESET,
        /** As behind a partition: opening a connection hangs, and bytes on open ones are held up until the mode ends. */
        PARTITION,
        /** Open connections are reset, and new ones refused. */
        RESET_AND_REFUSE,
        /** Open connections are forwarded, and new ones refused. */
        REFUSE_NEW;

        private boolean acceptsNew() {
            return this != PARTITION && this != RESET_AND_REFUSE && this != REFUSE_NEW;
        }

        private boolean resetsOpen() {
            return this == RESET || this == RESET_AND_REFUSE;
        }
    }

    private static final int BUFFER_BYTES = 16 * 1024;
    /** Longer than a round trip between any two VMs, shorter than the timeouts between nodes. */
    private static final long DELAY_MS = 120;

    /** Connections to a listener that accepts none, until its queue is full. */
    private static final int QUEUE_FILLERS = 4;

    private static final int FILL_TIMEOUT_MS = 50;
    private static final int BACKLOG = 50;
    private static final long PORT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Longer than the thread that accepts takes to connect to the target. */
    private static final long ACCEPTOR_END_MS = 5_000;
    /** Time for a reset of a connection whose bytes were held up to be noticed. */
    private static final int RESET_CHECK_MS = 5;

    private final InetSocketAddress listen;
    private final InetSocketAddress target;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final List<Socket> queueFillers = new ArrayList<>();
    private Optional<ServerSocket> server = Optional.empty();
    private Optional<Thread> acceptor = Optional.empty();
    private volatile Mode mode = Mode.FORWARD;

    /** Listens at a free loopback port and forwards to {@code targetPort}. */
    FaultInjectionProxy(int targetPort) throws IOException {
        this(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), LoopbackPorts.allocate()),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
    }

    /** Listens at one address and forwards to another. */
    public FaultInjectionProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.listen = listen;
        this.target = target;
        startAccepting();
    }

    /** Returns the address of this proxy, {@code ip:port}, which peers use in place of the target's. */
    String address() {
        return "127.0.0.1:" + listen.getPort();
    }

    /** Sets how open and new connections are treated. */
    public synchronized void setMode(Mode newMode) {
        final Mode oldMode = mode;
        final boolean accepted = oldMode.acceptsNew();
        mode = newMode;
        try {
            if (oldMode == Mode.PARTITION) {
                forwardQueued();
            }
            if (!newMode.acceptsNew()) {
                stopListening();
            } else if (!accepted) {
                stopListening();
                startAccepting();
            }
            if (newMode == Mode.PARTITION) {
                listenWithFullQueue();
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        if (newMode == Mode.BLACKHOLE) {
            blackholeOpenConnections();
        } else if (newMode.resetsOpen()) {
            connections.forEach(Connection::reset);
        }
    }

    private void startAccepting() throws IOException {
        final ServerSocket accepting = openServer(BACKLOG);
        server = Optional.of(accepting);
        acceptor = Optional.of(startThread("proxy-accept", () -> acceptConnections(accepting)));
    }

    /** The port becomes free only once the thread that accepted on it has left its system call. */
    private ServerSocket openServer(int backlog) throws IOException {
        final long deadlineNanos = System.nanoTime() + PORT_TIMEOUT_NANOS;
        while (true) {
            try {
                return new ServerSocket(listen.getPort(), backlog, listen.getAddress());
            } catch (BindException e) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw e;
                }
                Await.sleepMs(1);
            }
        }
    }

    private void stopListening() throws IOException {
        for (final Socket filler : queueFillers) {
            filler.close();
        }
        queueFillers.clear();
        if (server.isPresent()) {
            server.get().close();
        }
        server = Optional.empty();
        awaitAcceptorEnd();
    }

    /** The kernel takes connections in until the thread that accepted has left its system call. */
    private void awaitAcceptorEnd() {
        if (acceptor.isPresent()) {
            Uninterruptibles.joinUninterruptibly(acceptor.get(), ACCEPTOR_END_MS, TimeUnit.MILLISECONDS);
            if (acceptor.get().isAlive()) {
                throw new IllegalStateException("the thread that accepts at " + listen + " does not end");
            }
        }
        acceptor = Optional.empty();
    }

    /** Forwards the connections that the kernel took in before the queue was full. */
    private void forwardQueued() throws IOException {
        final ServerSocket queue = server.orElseThrow();
        queue.setSoTimeout(RESET_CHECK_MS);
        try {
            while (true) {
                forward(queue.accept());
            }
        } catch (SocketTimeoutException e) {
            // The queue is empty.
            queue.setSoTimeout(0);
        }
    }

    /** The kernel drops the first packet of further connections, as a partition does. */
    private void listenWithFullQueue() throws IOException {
        server = Optional.of(openServer(1));
        for (int filler = 0; filler < QUEUE_FILLERS; filler++) {
            final Socket socket = new Socket();
            queueFillers.add(socket);
            try {
                socket.connect(listen, FILL_TIMEOUT_MS);
            } catch (SocketTimeoutException e) {
                return;
            }
        }
    }

    /** Black-holes the open connections permanently; new ones are not affected. */
    public void blackholeOpenConnections() {
        connections.forEach(connection -> connection.blackholed = true);
    }

    private void acceptConnections(ServerSocket accepting) {
        while (!accepting.isClosed()) {
            try {
                forward(accepting.accept());
            } catch (IOException e) {
                return;
            }
        }
    }

    private void forward(Socket clientSocket) throws IOException {
        Socket targetSocket = new Socket();
        Connection connection = new Connection(clientSocket, targetSocket);
        connection.blackholed = mode == Mode.BLACKHOLE;
        connections.add(connection);
        if (mode == Mode.RESET) {
            connection.reset();
            return;
        }
        try {
            targetSocket.connect(target, 1_000);
        } catch (IOException e) {
            connection.reset();
            return;
        }
        final var unusedUpstream = startThread("proxy-copy", () -> connection.copy(clientSocket, targetSocket, true));
        final var unusedDownstream =
                startThread("proxy-copy", () -> connection.copy(targetSocket, clientSocket, false));
    }

    private static Thread startThread(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    @Override
    public synchronized void close() throws IOException {
        stopListening();
        connections.forEach(Connection::reset);
    }

    /** One forwarded connection. */
    private final class Connection {
        private final Socket clientSocket;
        private final Socket targetSocket;
        private volatile boolean blackholed;
        private volatile boolean dropsToTarget;

        private Connection(Socket clientSocket, Socket targetSocket) {
            this.clientSocket = clientSocket;
            this.targetSocket = targetSocket;
        }

        private void copy(Socket from, Socket to, boolean towardsTarget) {
            byte[] buffer = new byte[BUFFER_BYTES + 1];
            try {
                int count = from.getInputStream().read(buffer, 0, BUFFER_BYTES);
                while (count >= 0) {
                    if (mode == Mode.DELAY) {
                        Await.sleepMs(DELAY_MS);
                    }
                    if (mode == Mode.PARTITION) {
                        count = holdUp(from, buffer, count);
                    }
                    // A connection that dropped bytes must not forward later ones.
                    dropsToTarget = dropsToTarget || (towardsTarget && mode == Mode.DROP_TO_TARGET);
                    if (!blackholed && !(towardsTarget && dropsToTarget)) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                    count = from.getInputStream().read(buffer, 0, BUFFER_BYTES);
                }
                if (!blackholed) {
                    to.shutdownOutput();
                }
            } catch (IOException e) {
                if (!blackholed) {
                    reset();
                }
            }
        }

        /**
         * Waits until the partition ends and returns the number of bytes to forward, of which one may be new. Throws if
         * the sender has reset the connection, which loses its bytes.
         */
        private int holdUp(Socket from, byte[] buffer, int count) throws IOException {
            while (mode == Mode.PARTITION) {
                Await.sleepMs(RESET_CHECK_MS);
            }
            from.setSoTimeout(RESET_CHECK_MS);
            try {
                return count + Math.max(0, from.getInputStream().read(buffer, count, 1));
            } catch (SocketTimeoutException e) {
                // The connection is open and has no more bytes yet.
                return count;
            } finally {
                from.setSoTimeout(0);
            }
        }

        private void reset() {
            connections.remove(this);
            closeWithReset(clientSocket);
            closeWithReset(targetSocket);
        }

        private void closeWithReset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                blackholed = true;
            }
        }
    }
}
