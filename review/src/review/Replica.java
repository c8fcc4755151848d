package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a replica of a plain service. It sends heartbeats as the users' pages describe them and passes each
 * request that names it to a handler.
 */
class Replica implements AutoCloseable {
    /** Answers one request on the given stream; returns whether the connection is kept. */
    interface Handler {
        boolean answer(Replica replica, Http.Message request, OutputStream out) throws Exception;
    }

    final String id;
    final String service;
    final String ip;
    final int port;
    private final Fleet fleet;
    private final Handler handler;
    private final long bornMs = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final ServerSocket listener = new ServerSocket();
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean heartbeats = true;
    private volatile boolean leaving;
    private volatile boolean draining;
    private volatile boolean closed;
    private volatile String heartbeatAddress = "";

    Replica(Fleet fleet, String id, String service, String ip, int port, Handler handler) throws IOException {
        this.fleet = fleet;
        this.id = id;
        this.service = service;
        this.ip = ip;
        this.port = port;
        this.handler = handler;
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
    }

    /** Starts to listen and to send heartbeats. */
    Replica start() {
        Case.daemon("accept-" + id, this::accept);
        Case.daemon("heartbeat-" + id, this::sendHeartbeats);
        return this;
    }

    /** Fields that a model replica adds to its heartbeats, each with a leading comma. */
    String engineFields() {
        return "";
    }

    /** Answers a request for this replica; returns whether the connection is kept. */
    boolean answer(Http.Message request, OutputStream out) throws Exception {
        return handler.answer(this, request, out);
    }

    /** Ends at once, as a crash does: resets every connection and sends nothing more. */
    void crash() throws IOException {
        close();
        for (final Socket socket : sockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    boolean isClosed() {
        return closed;
    }

    boolean isLeaving() {
        return leaving;
    }

    private void sendHeartbeats() {
        while (!closed && heartbeats) {
            heartbeat();
            Case.sleepMs(Fleet.HEARTBEAT_MS);
        }
    }

    /** Sends one heartbeat, to the address that the last answer named or to any control node. */
    synchronized void heartbeat() {
        final String body = ("{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,"
                        + "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%d,\"born\":%d%s}")
                .formatted(
                        service,
                        ip,
                        port,
                        draining ? "draining" : "ready",
                        sequence.incrementAndGet(),
                        bornMs,
                        engineFields());
        call("/-/instances/" + id + "/heartbeat", body);
    }

    /** Calls control nodes until one acknowledges; returns that node's index, or -1. */
    int call(String path, String body) {
        final int first = fleet.controlAt(heartbeatAddress).orElse(0);
        for (int i = 0; i < fleet.controls(); i++) {
            final int control = (first + i) % fleet.controls();
            final Optional<Http.Message> answer =
                    Http.call("POST", fleet.controlIp(control), fleet.controlPort(), path, body, 1_000);
            if (answer.filter(message -> message.status() / 100 == 2).isPresent()) {
                final String text = answer.get().text();
                final int at = text.indexOf("\"heartbeatAddress\":\"");
                heartbeatAddress = at < 0
                        ? fleet.controlIp(control) + ":" + fleet.controlPort()
                        : text.substring(at + 20, text.indexOf('"', at + 20));
                return control;
            }
        }
        return -1;
    }

    /**
     * Leaves as the replicas do that never report that they drain: deregisters first, and goes on serving. Its answers
     * say from then on that it leaves. Returns the control node that acknowledged, or -1.
     */
    int deregister() {
        heartbeats = false;
        leaving = true;
        return call("/-/instances/" + id + "/deregister", "{\"born\":" + bornMs + "}");
    }

    /** Leaves as most replicas do: reports that it drains, serves for another time, deregisters and exits. */
    void drainAndExit(long serveOnMs) throws IOException {
        draining = true;
        leaving = true;
        heartbeat();
        Case.sleepMs(serveOnMs);
        deregister();
        close();
    }

    private void accept() {
        while (!closed) {
            try {
                final Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Case.daemon("serve-" + id, () -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        sockets.add(socket);
        try (socket) {
            final InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean keep = true;
            while (keep) {
                final Optional<Http.Message> request = Http.read(in, false);
                if (request.isEmpty() || !request.get().complete()) {
                    return;
                }
                final String expected = request.get().header("x-expect-instance").orElse(id);
                if (!expected.equals(id)) {
                    write(socket.getOutputStream(), 421, request.get(), "", "");
                } else {
                    keep = answer(request.get(), socket.getOutputStream());
                }
            }
        } catch (Exception e) {
            if (!closed) {
                Case.note("replica " + id + ": a connection ended: " + e);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Writes a response with a length; {@code headers} are whole lines. */
    static void write(OutputStream out, int status, Http.Message request, String headers, String body)
            throws IOException {
        out.write(response(status, request, headers, body).getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    static String response(int status, Http.Message request, String headers, String body) {
        return "HTTP/1.1 " + status + " X\r\nX-Attempt-Id: " + request.header("x-attempt-id").orElse("-")
                + "\r\nKeep-Alive: timeout=5\r\n" + headers + "Content-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /** The header line with the seal of this run. */
    static String seal(Http.Message request, String run) {
        return "X-Server-Seal: " + sealOf(request.header("x-attempt-id").orElse("-"), run) + "\r\n";
    }

    static String sealOf(String attempt, String run) {
        return "seal." + run + "." + attempt;
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listener.close();
    }
}
