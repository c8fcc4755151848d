package org.wigeongrade.proof;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

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
        RESET
    }

    private static final int BUFFER_BYTES = 16 * 1024;
    /** Longer than a round trip between any two VMs, shorter than the timeouts between nodes. */
    private static final long DELAY_MS = 120;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.FORWARD;

    /** Listens at a free loopback port and forwards to {@code targetPort}. */
    FaultInjectionProxy(int targetPort) throws IOException {
        this(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), LoopbackPorts.allocate()),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
    }

    /** Listens at one address and forwards to another. */
    public FaultInjectionProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(listen.getPort(), 50, listen.getAddress());
        startThread("proxy-accept", this::acceptConnections);
    }

    /** Returns the address of this proxy, {@code ip:port}, which peers use in place of the target's. */
    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Sets how open and new connections are treated. */
    public void setMode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.BLACKHOLE) {
            blackholeOpenConnections();
        } else if (newMode == Mode.RESET) {
            connections.forEach(Connection::reset);
        }
    }

    /** Black-holes the open connections permanently; new ones are not affected. */
    public void blackholeOpenConnections() {
        connections.forEach(connection -> connection.blackholed = true);
    }

    private void acceptConnections() {
        while (!server.isClosed()) {
            try {
                forward(server.accept());
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
        startThread("proxy-copy", () -> connection.copy(clientSocket, targetSocket, true));
        startThread("proxy-copy", () -> connection.copy(targetSocket, clientSocket, false));
    }

    private static void startThread(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
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
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                int count = from.getInputStream().read(buffer);
                while (count >= 0) {
                    if (mode == Mode.DELAY) {
                        Await.sleepMs(DELAY_MS);
                    }
                    // A connection that dropped bytes must not forward later ones.
                    dropsToTarget = dropsToTarget || (towardsTarget && mode == Mode.DROP_TO_TARGET);
                    if (!blackholed && !(towardsTarget && dropsToTarget)) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                    count = from.getInputStream().read(buffer);
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
