package org.wigeongrade.platform.soak;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.wigeongrade.proof.Await;

/**
 * One endpoint VM that announces itself and runs requests: a replica of a plain service, or an engine in a group.
 *
 * <p>Invariant: an ended incarnation sends nothing more; the next one at the address is a younger one. Thread safe.
 */
final class StandinVm implements AutoCloseable {
    static final long HEARTBEAT_MS = 300;
    private static final int NOT_RUN_STATUS = 503;
    private static final int MISDIRECTED = 421;
    private static final int EVENTS = 12;
    private static final long EVENT_PAUSE_MS = 15;
    private static final int LONGEST_WORK_MS = 25;

    private final String name;
    private final String service;
    private final int port;
    private final StandinFleet fleet;
    private final Optional<EngineMember> engine;
    private final Thread heartbeats = new Thread(this::announce, "heartbeat");
    private HttpServer server;
    private ExecutorService workers;
    private volatile long bornMs;
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean running;
    private volatile boolean draining;
    private volatile boolean dark;
    private volatile boolean closed;
    /** Part of the requests whose answer is lost after they ran. */
    private volatile double answersLost;

    StandinVm(String name, String service, int port, StandinFleet fleet, Optional<String> domain) {
        this.name = name;
        this.service = service;
        this.port = port;
        this.fleet = fleet;
        this.engine = domain.map(known -> new EngineMember(name, known, fleet));
        start();
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    String name() {
        return name;
    }

    Optional<EngineMember> engine() {
        return engine;
    }

    boolean isRunning() {
        return running;
    }

    void loseAnswers(double part) {
        answersLost = part;
    }

    /** Answers and announces nothing while dark. */
    void setDark(boolean isDark) {
        dark = isDark;
    }

    /** Begins an incarnation. */
    synchronized void start() {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        workers = Executors.newCachedThreadPool(action -> {
            final Thread thread = new Thread(action, name);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(workers);
        server.createContext("/", this::serve);
        bornMs = System.currentTimeMillis();
        sequence.set(0);
        draining = false;
        engine.ifPresent(EngineMember::restarted);
        running = true;
        server.start();
    }

    /** Begins another incarnation if none runs. */
    synchronized void restart() {
        if (!running && !closed) {
            start();
        }
    }

    /** Ends the incarnation without a word. */
    synchronized void crash() {
        if (running) {
            running = false;
            workers.shutdownNow();
            server.stop(0);
        }
    }

    /** Leaves as planned: says so, serves on for a while, says that it has left, ends. */
    void leave(long serveOnMs) {
        draining = true;
        heartbeat();
        Await.sleepMs(serveOnMs);
        final var unused = fleet.control().call("POST", "/-/instances/" + name + "/deregister", "");
        crash();
    }

    private void announce() {
        while (!closed) {
            if (running && !dark) {
                heartbeat();
            }
            final long changes = engine.map(EngineMember::changes).orElse(0L);
            final long dueNanos = System.nanoTime() + HEARTBEAT_MS * 1_000_000;
            while (System.nanoTime() - dueNanos < 0
                    && changes == engine.map(EngineMember::changes).orElse(0L)) {
                Await.sleepMs(5);
            }
        }
    }

    private void heartbeat() {
        final String body = """
                {"service":"%s","address":"127.0.0.1:%d","zone":"zone-a","version":"v1","slots":8,"state":"%s",
                "coldRemainingMs":0,"sequence":%d,"born":%d%s}""".formatted(
                        service,
                        port,
                        draining ? "draining" : "ready",
                        sequence.incrementAndGet(),
                        bornMs,
                        engine.map(EngineMember::report).orElse(""));
        final var unused = fleet.control().call("POST", "/-/instances/" + name + "/heartbeat", body);
    }

    /** A request that fails with an exception ends its connection, without the mark of a whole answer. */
    private void serve(HttpExchange exchange) throws IOException {
        while (dark) {
            Await.sleepMs(20);
        }
        final String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(name)) {
            answer(exchange, MISDIRECTED, "");
        } else if (exchange.getRequestURI().getPath().equals("/-/report")) {
            answer(exchange, 200, "{}");
        } else if (exchange.getRequestURI().getPath().equals("/-/order")) {
            final byte[] order = exchange.getRequestBody().readAllBytes();
            answer(exchange, engine.orElseThrow().take(order), "");
        } else {
            run(exchange);
        }
    }

    private void run(HttpExchange exchange) throws IOException {
        final String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
        final String path = exchange.getRequestURI().getPath();
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("X-Attempt-Id", attempt);
        if (engine.isPresent() && !engine.get().mayBegin()) {
            exchange.getResponseHeaders().set("X-Not-Executed", "1");
            answer(exchange, engine.get().isHead() ? NOT_RUN_STATUS : MISDIRECTED, "");
            return;
        }
        fleet.promises().ran(attempt, !path.startsWith("/charge/"));
        fleet.checkRun(path, service, exchange.getRequestHeaders().getFirst("X-Tenant"), attempt);
        if (ThreadLocalRandom.current().nextDouble() < answersLost) {
            throw new IOException("the answer is lost");
        }
        exchange.getResponseHeaders().set("X-Server-Seal", "seal-" + attempt);
        if (engine.isPresent()) {
            stream(exchange, engine.get());
        } else {
            Await.sleepMs(ThreadLocalRandom.current().nextInt(LONGEST_WORK_MS));
            answer(exchange, 200, "ran " + attempt + " " + path + " " + body);
        }
    }

    private void stream(HttpExchange exchange, EngineMember member) throws IOException {
        final String last = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        for (int event = last == null ? 1 : Integer.parseInt(last) + 1; event <= EVENTS; event++) {
            Await.sleepMs(EVENT_PAUSE_MS);
            if (!running || !member.awaitProgress()) {
                throw new IOException("the group broke");
            }
            exchange.getResponseBody()
                    .write(("id: " + event + "\ndata: event-" + event + "\n\n").getBytes(StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
        }
        exchange.close();
    }

    /** Returns what a whole stream holds. */
    static String wholeStream() {
        final StringBuilder whole = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            whole.append("id: ")
                    .append(event)
                    .append("\ndata: event-")
                    .append(event)
                    .append("\n\n");
        }
        return whole.toString();
    }

    private static void answer(HttpExchange exchange, int status, String body) throws IOException {
        final byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(status, bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        closed = true;
        crash();
    }
}
