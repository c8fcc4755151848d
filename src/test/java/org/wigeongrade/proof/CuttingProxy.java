package org.wigeongrade.proof;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards TCP connections between two VMs and cuts them as a network does.
 *
 * <p>Invariant: a connection that went silent stays silent for good, as when something between the ends lost track of it.
 * Safe for use from any thread.
 */
public final class CuttingProxy implements AutoCloseable {
    /** What becomes of connections. */
    public enum Mode {
        /** Everything passes. */
        PASS,
        /** Bytes arrive late. */
        DELAYED,
        /** Bytes towards the target vanish; those from it pass. */
        DEAF,
        /** Bytes vanish: open connections and new ones give no sign of life and no reset. */
        SILENT,
        /** Connections are reset. */
        RESET
    }

    private static final int BUFFER_BYTES = 16 * 1024;
    /** Longer than a round trip between any two VMs, shorter than the timeouts between nodes. */
    private static final long DELAY_MS = 120;

    private final ServerSocket server;
    private final InetSocketAddress target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    /** Listens at a free loopback port and forwards to {@code targetPort}. */
    CuttingProxy(int targetPort) throws IOException {
        this(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), LoopbackPorts.free()),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort));
    }

    /** Listens at one address and forwards to another. */
    public CuttingProxy(InetSocketAddress listen, InetSocketAddress target) throws IOException {
        this.target = target;
        this.server = new ServerSocket(listen.getPort(), 50, listen.getAddress());
        start("proxy-accept", this::accept);
    }

    /** Returns the address that the far VM's peers use, {@code ip:port}. */
    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Sets what becomes of open and new connections. */
    public void set(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.SILENT) {
            silenceOpenConnections();
        } else if (newMode == Mode.RESET) {
            links.forEach(Link::reset);
        }
    }

    /** Silences the open connections for good while new ones pass. */
    public void silenceOpenConnections() {
        links.forEach(link -> link.silent = true);
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                serve(server.accept());
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket near) throws IOException {
        Socket far = new Socket();
        Link link = new Link(near, far);
        link.silent = mode == Mode.SILENT;
        links.add(link);
        if (mode == Mode.RESET) {
            link.reset();
            return;
        }
        try {
            far.connect(target, 1_000);
        } catch (IOException e) {
            link.reset();
            return;
        }
        start("proxy-pump", () -> link.pump(near, far, true));
        start("proxy-pump", () -> link.pump(far, near, false));
    }

    private static void start(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 128 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        links.forEach(Link::reset);
    }

    /** One forwarded connection. */
    private final class Link {
        private final Socket near;
        private final Socket far;
        private volatile boolean silent;
        private volatile boolean deaf;

        private Link(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }

        private void pump(Socket from, Socket to, boolean towardsTarget) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                int count = from.getInputStream().read(buffer);
                while (count >= 0) {
                    if (mode == Mode.DELAYED) {
                        Await.sleepMs(DELAY_MS);
                    }
                    // A connection that lost bytes must not pass later ones.
                    deaf = deaf || (towardsTarget && mode == Mode.DEAF);
                    if (!silent && !(towardsTarget && deaf)) {
                        to.getOutputStream().write(buffer, 0, count);
                    }
                    count = from.getInputStream().read(buffer);
                }
                if (!silent) {
                    to.shutdownOutput();
                }
            } catch (IOException e) {
                if (!silent) {
                    reset();
                }
            }
        }

        private void reset() {
            links.remove(this);
            closeWithReset(near);
            closeWithReset(far);
        }

        private void closeWithReset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                silent = true;
            }
        }
    }
}
