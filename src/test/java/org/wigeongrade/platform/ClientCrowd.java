package org.wigeongrade.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * Clients that all behave in the same way on one address, each on a connection of its own that stays open.
 *
 * <p>Invariant: {@link #close} closes every connection. Thread safe.
 */
final class ClientCrowd implements AutoCloseable {
    /** Small, so that what a client does not read stays with the node. */
    private static final int RECEIVE_BUFFER_BYTES = 4_096;

    private static final int CONNECT_TIMEOUT_MS = 5_000;
    private static final int STACK_BYTES = 256 * 1_024;
    /** A client that has not finished by then is blocked by a node that does not read on. */
    private static final long SEND_TIMEOUT_MS = 8_000;

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final List<Thread> clients = new CopyOnWriteArrayList<>();

    ClientCrowd(InetSocketAddress address, CrowdBehaviour behaviour, String path) {
        for (int number = 0; number < behaviour.clients(); number++) {
            final Runnable client = () -> run(address, behaviour, path);
            final Thread thread = new Thread(null, client, "crowd-" + number, STACK_BYTES);
            thread.setDaemon(true);
            thread.start();
            clients.add(thread);
        }
    }

    private void run(InetSocketAddress address, CrowdBehaviour behaviour, String path) {
        final Socket socket = new Socket();
        sockets.add(socket);
        try {
            socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            socket.setTcpNoDelay(true);
            socket.connect(address, CONNECT_TIMEOUT_MS);
            behaviour.send(socket.getOutputStream(), path);
        } catch (IOException closedByNode) {
            // Allowed: the node may close the connection of such a client at any time.
        }
    }

    /** Waits until every client has sent everything, was closed by the node or is no longer read by it. */
    void awaitSent() throws InterruptedException {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(SEND_TIMEOUT_MS);
        for (final Thread client : clients) {
            TimeUnit.NANOSECONDS.timedJoin(client, Math.max(1, deadlineNanos - System.nanoTime()));
        }
    }

    @Override
    public void close() throws IOException {
        for (final Socket socket : sockets) {
            socket.close();
        }
    }
}
