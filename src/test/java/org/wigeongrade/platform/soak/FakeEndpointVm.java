package org.wigeongrade.platform.soak;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.math.BigDecimal;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wigeongrade.proof.Await;

/**
 * A fake endpoint VM that sends heartbeats and runs requests: a replica of a plain service, or an engine in a group.
 *
 * <p>Invariant: a stopped incarnation sends nothing more; the next one at the address starts later. Thread safe.
 */
final class FakeEndpointVm implements AutoCloseable {
    static final long HEARTBEAT_MS = 300;
    static final String HEALTH_PATH = "/healthz";
    private static final int NOT_RUN_STATUS = 503;
    private static final int MISDIRECTED = 421;
    private static final int EVENTS = 12;
    private static final int LONG_EVENTS = 120;
    private static final String LONG_SUFFIX = "-long";
    private static final long EVENT_INTERVAL_MS = 15;
    private static final int MAX_WORK_MS = 25;
    private static final long MIN_DOWN_MS = 500;
    private static final int DOWN_SPREAD_MS = 2_000;
    private static final long PORT_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final String name;
    private final String service;
    private final int port;
    private final FakeEndpointFleet fleet;
    private final Optional<FakeEngine> engine;
    private final Thread heartbeatThread = new Thread(this::sendHeartbeats, "heartbeat");
    private final OrderFaults orderFaults = new OrderFaults();
    private final ControlLink controlLink;
    private HttpServer server;
    private ExecutorService workers;
    /** Requests whose streams run now. */
    private final Set<String> runningStreams = ConcurrentHashMap.newKeySet();

    private volatile long startedMs;
    private final AtomicLong sequence = new AtomicLong();
    private volatile boolean running;
    private volatile boolean draining;
    private volatile boolean unresponsive;
    /** Whether responses say that this VM leaves. */
    private volatile boolean saysLeaving;
    /** End of the time for which this VM wants no requests; in the past if it takes them. */
    private volatile long wantsPauseUntilNanos = System.nanoTime();

    /** Requests a second that this VM states it takes from all nodes together; 0 if it states none. */
    private volatile double statedLimit;

    /** Until then this VM sends nothing, and goes on afterwards; in the past unless it is silent. */
    private volatile long silentUntilNanos = System.nanoTime();

    private volatile boolean closed;
    /** Fraction of requests whose response is dropped after they ran. */
    private volatile double lostResponseRatio;

    FakeEndpointVm(String name, String service, int port, FakeEndpointFleet fleet, Optional<String> domain) {
        this.name = name;
        this.service = service;
        this.port = port;
        this.fleet = fleet;
        this.controlLink = new ControlLink(fleet.control());
        this.engine = domain.map(fabricDomain -> new FakeEngine(name, fabricDomain, fleet));
        start();
        heartbeatThread.setDaemon(true);
        heartbeatThread.start();
    }

    String name() {
        return name;
    }

    String service() {
        return service;
    }

    Optional<FakeEngine> engine() {
        return engine;
    }

    int port() {
        return port;
    }

    /** Returns the start of the latest incarnation, in milliseconds since 1970. */
    long startedMs() {
        return startedMs;
    }

    OrderFaults orderFaults() {
        return orderFaults;
    }

    ControlLink controlLink() {
        return controlLink;
    }

    boolean isRunning() {
        return running;
    }

    void loseResponses(double ratio) {
        lostResponseRatio = ratio;
    }

    /** Sets whether this VM stops responding to requests and sending heartbeats. */
    void setUnresponsive(boolean isUnresponsive) {
        unresponsive = isUnresponsive;
    }

    /** Sends nothing for {@code forMs}: no event of a running stream, no response and no heartbeat. */
    void fallSilent(long forMs) {
        silentUntilNanos = System.nanoTime() + forMs * 1_000_000;
        Await.sleepMs(forMs);
    }

    /** Returns whether the last silence ended at least {@code forMs} ago. */
    boolean hasWorkedFor(long forMs) {
        return System.nanoTime() - silentUntilNanos >= forMs * 1_000_000;
    }

    private boolean isSilent() {
        return System.nanoTime() - silentUntilNanos < 0;
    }

    private void awaitEndOfSilence() {
        while (isSilent()) {
            Await.sleepMs(5);
        }
    }

    /** Starts a new incarnation. */
    synchronized void start() {
        server = openServer();
        workers = Executors.newCachedThreadPool(action -> {
            final Thread thread = new Thread(action, name);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(workers);
        server.createContext("/", this::serve);
        startedMs = System.currentTimeMillis();
        sequence.set(0);
        draining = false;
        saysLeaving = false;
        wantsPauseUntilNanos = System.nanoTime();
        statedLimit = 0;
        fleet.guarantees().limits().recordLifted(name);
        engine.ifPresent(FakeEngine::reset);
        running = true;
        server.start();
    }

    /** The port becomes free only once the sockets of the previous incarnation have closed. */
    private HttpServer openServer() {
        final long deadlineNanos = System.nanoTime() + PORT_TIMEOUT_NANOS;
        while (true) {
            try {
                return HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
            } catch (IOException e) {
                if (System.nanoTime() - deadlineNanos > 0) {
                    throw new UncheckedIOException(e);
                }
                Await.sleepMs(10);
            }
        }
    }

    /** Starts a new incarnation if none is running. */
    synchronized void restart() {
        if (!running && !closed) {
            start();
        }
    }

    /** Stops the incarnation without deregistering it. */
    synchronized void crash() {
        if (running) {
            running = false;
            runningStreams.forEach(fleet.guarantees().cutResponses()::recordBrokenOff);
            workers.shutdownNow();
            server.stop(0);
        }
    }

    /** Starts a new incarnation at once, which knows nothing of the previous one. */
    synchronized void crashAndRestart() {
        crash();
        restart();
    }

    /** Leaves gracefully: reports that it drains, serves for another {@code serveOnMs}, deregisters and stops. */
    void leave(long serveOnMs) {
        draining = true;
        saysLeaving = true;
        sendHeartbeat();
        Await.sleepMs(serveOnMs);
        final var unused = fleet.control().call("POST", "/-/instances/" + name + "/deregister", "");
        crash();
    }

    /** Says in responses only that it leaves, for {@code forMs}, and then leaves as above. */
    void sayLeavingThenLeave(long forMs) {
        saysLeaving = true;
        Await.sleepMs(forMs);
        leave(forMs);
    }

    /** Turns requests away for {@code forMs}, and asks their senders for a pause until then. */
    void askForPause(long forMs) {
        wantsPauseUntilNanos = System.nanoTime() + forMs * 1_000_000;
        Await.sleepMs(forMs);
    }

    /** States for {@code forMs} how many requests a second it takes. */
    void stateLimit(double requestsPerSecond, long forMs) {
        statedLimit = requestsPerSecond;
        Await.sleepMs(forMs);
        statedLimit = 0;
        fleet.guarantees().limits().recordLifted(name);
    }

    private void sendHeartbeats() {
        while (!closed) {
            if (running && !unresponsive && !isSilent()) {
                sendHeartbeat();
            }
            final long changes = engine.map(FakeEngine::changes).orElse(0L);
            final long nextNanos = System.nanoTime() + HEARTBEAT_MS * 1_000_000;
            while (System.nanoTime() - nextNanos < 0
                    && changes == engine.map(FakeEngine::changes).orElse(0L)) {
                Await.sleepMs(5);
            }
        }
    }

    private void sendHeartbeat() {
        final String body = """
                {"service":"%s","address":"%s","zone":"zone-a","version":"v1","slots":8,"state":"%s",
                "coldRemainingMs":0,"sequence":%d,"born":%d%s}""".formatted(
                        service,
                        EndpointProxies.controlAddress(port),
                        draining ? "draining" : "ready",
                        sequence.incrementAndGet(),
                        startedMs,
                        engine.map(FakeEngine::report).orElse(""));
        controlLink.send("/-/instances/" + name + "/heartbeat", body);
    }

    /** Serves a request; an exception closes the connection without the terminator of a complete response. */
    private void serve(HttpExchange exchange) throws IOException {
        while (unresponsive) {
            Await.sleepMs(20);
        }
        awaitEndOfSilence();
        if (saysLeaving) {
            exchange.getResponseHeaders().set("Server-Leaving", "1");
        }
        final String expected = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
        if (expected != null && !expected.equals(name)) {
            respond(exchange, MISDIRECTED, "");
        } else if (exchange.getRequestURI().getPath().equals("/-/report")) {
            respond(exchange, 200, "{\"born\":" + startedMs + "}");
        } else if (exchange.getRequestURI().getPath().equals(HEALTH_PATH)) {
            exchange.getResponseHeaders().set("X-Instance-Id", name);
            respond(exchange, draining ? NOT_RUN_STATUS : 200, "");
        } else if (exchange.getRequestURI().getPath().equals("/-/order")) {
            final byte[] order = exchange.getRequestBody().readAllBytes();
            executeOrder(exchange, order);
        } else {
            run(exchange);
        }
    }

    private void executeOrder(HttpExchange exchange, byte[] order) throws IOException {
        final int refusal = orderFaults.nextRefusal();
        if (refusal != 0) {
            respond(exchange, refusal, "");
            return;
        }
        final long delayMs = orderFaults.nextDelayMs(FakeEngine.operation(order));
        if (delayMs == 0) {
            respond(exchange, engine.orElseThrow().execute(order), "");
            return;
        }
        final long incarnation = startedMs;
        Await.sleepMs(delayMs);
        if (running && incarnation == startedMs) {
            final int unused = engine.orElseThrow().execute(order);
        }
        throw new IOException("injected late execution of an order");
    }

    private void run(HttpExchange exchange) throws IOException {
        final String attemptId = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
        final String path = exchange.getRequestURI().getPath();
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("X-Attempt-Id", attemptId);
        fleet.guarantees().sendRestrictions().recordArrival(attemptId, name, startedMs);
        fleet.guarantees().limits().recordArrival(attemptId, name);
        final double limit = statedLimit;
        if (limit > 0) {
            exchange.getResponseHeaders().set("Server-Limit", Double.toString(limit));
            fleet.guarantees().limits().recordStated(attemptId, name, limit);
        }
        final boolean toldOfLeaving = exchange.getResponseHeaders().containsKey("Server-Leaving");
        if (turnAway(exchange, attemptId)) {
            return;
        }
        if (engine.isPresent() && !engine.get().awaitAdmission()) {
            exchange.getResponseHeaders().set("X-Not-Executed", "1");
            respond(exchange, engine.get().isHead() ? NOT_RUN_STATUS : MISDIRECTED, "");
            return;
        }
        fleet.guarantees().recordRun(attemptId, !path.startsWith("/charge/"));
        fleet.guarantees().replicaRuns().recordRun(attemptId, name + "#" + startedMs);
        fleet.checkRun(path, service, exchange.getRequestHeaders().getFirst("X-Tenant"), attemptId);
        if (path.equals(CrashingRequestSeries.PATH)) {
            crashForAWhile(attemptId);
        }
        if (ThreadLocalRandom.current().nextDouble() < lostResponseRatio) {
            fleet.guarantees().cutResponses().recordBrokenOff(attemptId);
            throw new IOException("injected loss of the response");
        }
        exchange.getResponseHeaders().set("X-Server-Seal", "seal-" + attemptId);
        if (engine.isPresent()) {
            runningStreams.add(attemptId);
            try {
                stream(exchange, engine.get());
            } finally {
                runningStreams.remove(attemptId);
            }
        } else {
            Await.sleepMs(ThreadLocalRandom.current().nextInt(MAX_WORK_MS));
            respond(exchange, 200, "ran " + attemptId + " " + path + " " + body);
        }
        if (toldOfLeaving) {
            fleet.guarantees().sendRestrictions().recordLeaving(attemptId, name, startedMs);
        }
    }

    /** Crashes before the request has a response; the next incarnation starts some time later. */
    private void crashForAWhile(String attemptId) throws IOException {
        fleet.guarantees().replicaRuns().recordCrash(attemptId);
        final Thread crashing = new Thread(
                () -> {
                    crash();
                    Await.sleepMs(MIN_DOWN_MS + ThreadLocalRandom.current().nextInt(DOWN_SPREAD_MS));
                    restart();
                },
                "crash " + name);
        crashing.setDaemon(true);
        crashing.start();
        throw new IOException("the request crashes this VM");
    }

    /** Refuses the request if this VM wants a pause. */
    private boolean turnAway(HttpExchange exchange, String attemptId) throws IOException {
        final long pauseMs = (wantsPauseUntilNanos - System.nanoTime()) / 1_000_000;
        if (pauseMs <= 0) {
            return false;
        }
        exchange.getResponseHeaders().set("X-Not-Executed", "1");
        exchange.getResponseHeaders()
                .set("Retry-After", BigDecimal.valueOf(pauseMs, 3).toPlainString());
        fleet.guarantees().sendRestrictions().recordPause(attemptId, name, startedMs, pauseMs);
        respond(exchange, NOT_RUN_STATUS, "");
        return true;
    }

    private void stream(HttpExchange exchange, FakeEngine groupMember) throws IOException {
        final String attempt = exchange.getRequestHeaders().getFirst("X-Attempt-Id");
        final String lastEventId = exchange.getRequestHeaders().getFirst("Last-Event-Id");
        final long incarnation = startedMs;
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        for (int event = lastEventId == null ? 1 : Integer.parseInt(lastEventId) + 1;
                event <= events(attempt);
                event++) {
            Await.sleepMs(EVENT_INTERVAL_MS);
            awaitEndOfSilence();
            if (!running || incarnation != startedMs || !groupMember.awaitProgress()) {
                fleet.guarantees().cutResponses().recordBrokenOff(attempt);
                throw new IOException("the VM stopped or its group broke");
            }
            exchange.getResponseBody().write(event(event).getBytes(StandardCharsets.UTF_8));
            exchange.getResponseBody().flush();
        }
        exchange.close();
    }

    /** Returns the id of a request for a stream that takes some seconds. */
    static String longStream(String attempt) {
        return attempt + LONG_SUFFIX;
    }

    private static int events(String attempt) {
        return attempt.endsWith(LONG_SUFFIX) ? LONG_EVENTS : EVENTS;
    }

    private static String event(int number) {
        return "id: " + number + "\ndata: event-" + number + "\n\n";
    }

    /** Returns the body of a complete stream. */
    static String expectedStream(String attempt) {
        return IntStream.rangeClosed(1, events(attempt))
                .mapToObj(FakeEndpointVm::event)
                .collect(Collectors.joining());
    }

    private static void respond(HttpExchange exchange, int status, String body) throws IOException {
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
