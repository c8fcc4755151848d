package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

/**
 * A replica of a plain service: it sends heartbeats every 1.2 s and serves one request at a time on a connection. What it
 * does with a request is decided by its {@link Behaviour}.
 */
final class Replica implements AutoCloseable {
    /** One connection of a caller. */
    record Connection(Replica replica, Socket socket, InputStream in, OutputStream out) {
        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Handles a request whose body is not read yet; returns whether the connection goes on. */
    interface Behaviour {
        boolean serve(Connection connection, Http.Head head) throws Exception;
    }

    private static final int HEARTBEAT_MS = 1_200;

    final String id;
    private final Fleet fleet;
    private final String service;
    private final ServerSocket server;
    private final Behaviour behaviour;
    private final CaseRecord record;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    /** Further fields of the heartbeat, each with a comma before it. */
    private final Supplier<String> furtherFields;

    private final Semaphore changes = new Semaphore(0);
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean closed;

    Replica(Fleet fleet, int number, String service, CaseRecord record, Behaviour behaviour) throws IOException {
        this(fleet, number, service, record, behaviour, () -> "");
    }

    Replica(
            Fleet fleet,
            int number,
            String service,
            CaseRecord record,
            Behaviour behaviour,
            Supplier<String> furtherFields)
            throws IOException {
        this.furtherFields = furtherFields;
        this.fleet = fleet;
        this.id = "i-" + number;
        this.service = service;
        this.record = record;
        this.behaviour = behaviour;
        this.server = new ServerSocket();
        server.setReceiveBufferSize(64 * 1024);
        server.bind(new InetSocketAddress(InetAddress.getByName(fleet.replicaIp(number)), 0), 512);
        daemon(this::acceptAll, id);
        daemon(this::sendHeartbeats, id + "-heartbeat");
    }

    private static void daemon(Runnable task, String name) {
        final Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!closed) {
            try {
                final Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                open.add(socket);
                daemon(() -> serve(socket), id + "-connection");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            final Connection connection = new Connection(
                    this, socket, new BufferedInputStream(socket.getInputStream(), 64 * 1024), socket.getOutputStream());
            boolean goesOn = true;
            while (goesOn) {
                final Http.Head head = Http.readHead(connection.in());
                goesOn = head != null && serveOne(connection, head);
            }
        } catch (Exception e) {
            if (!closed) {
                record.line(id + ": connection ended: " + e);
            }
        } finally {
            open.remove(socket);
        }
    }

    private boolean serveOne(Connection connection, Http.Head head) throws Exception {
        final String expected = head.header("x-expect-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            connection.in().readNBytes(head.contentLength());
            connection.write("HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: " + head.header("x-attempt-id")
                    + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        return behaviour.serve(connection, head);
    }

    private void sendHeartbeats() {
        int control = 0;
        while (!closed) {
            final String body = "{\"service\":\"" + service + "\",\"address\":\""
                    + address() + "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":18,\"state\":\"ready\",\"coldRemainingMs\":0,"
                    + "\"sequence\":" + sequence.incrementAndGet() + ",\"born\":" + born + furtherFields.get() + "}";
            final int tried = control;
            for (int next = 0; next < fleet.controls; next++) {
                control = (tried + next) % fleet.controls;
                if (fleet.call(control, "POST", "/-/instances/" + id + "/heartbeat", body, 1_000)
                        .filter(response -> response.statusCode() == 200)
                        .isPresent()) {
                    break;
                }
            }
            try {
                changes.tryAcquire(HEARTBEAT_MS, TimeUnit.MILLISECONDS);
                changes.drainPermits();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Sends the next heartbeat at once, because what it reports has changed. */
    void reportChange() {
        changes.release();
    }

    /** Returns the address of this replica, as its heartbeats state it. */
    String address() {
        return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort();
    }

    /** Ends this life at once, as a crash does: every connection is reset, and nothing more is sent. */
    void crash() throws IOException {
        close();
        for (final Socket socket : open) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
