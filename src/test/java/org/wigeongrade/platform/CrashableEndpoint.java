package org.wigeongrade.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * An endpoint of a plain service that crashes as it begins to write the response to certain requests, and comes back
 * with a new incarnation.
 *
 * <p>Invariant: a crash breaks off every request in progress. Thread safe.
 */
final class CrashableEndpoint implements AutoCloseable {
    private static final int WORK_MS = 40;
    private static final int DOWN_MS = 400;

    private final String vm;
    private final int port;
    private final Predicate<HttpExchange> crashes;
    private final Consumer<HttpExchange> onArrival;
    private final Runnable onCrash;
    private HttpServer server;
    private ExecutorService workers;
    private boolean closed;
    private long sequence;
    private long bornMs;
    private long restartNanos;

    CrashableEndpoint(
            String vm, int port, Predicate<HttpExchange> crashes, Consumer<HttpExchange> onArrival, Runnable onCrash) {
        this.vm = vm;
        this.port = port;
        this.crashes = crashes;
        this.onArrival = onArrival;
        this.onCrash = onCrash;
        start();
    }

    String vm() {
        return vm;
    }

    /** Returns the next heartbeat, or restarts a crashed endpoint if it is due; empty while it is down. */
    synchronized String heartbeat() {
        if (server == null && !closed && System.nanoTime() - restartNanos >= 0) {
            start();
        }
        if (server == null) {
            return "";
        }
        sequence++;
        return """
                {"service":"app","address":"127.0.0.1:%d","zone":"zone-a","version":"v1","slots":16,"state":"ready",
                "coldRemainingMs":0,"sequence":%d,"born":%d}""".formatted(port, sequence, bornMs);
    }

    private synchronized void start() {
        try {
            server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        workers = Executors.newCachedThreadPool(action -> {
            final Thread thread = new Thread(action, vm);
            thread.setDaemon(true);
            return thread;
        });
        server.setExecutor(workers);
        server.createContext("/", this::serve);
        bornMs = System.currentTimeMillis();
        sequence = 0;
        server.start();
    }

    private void serve(HttpExchange exchange) throws IOException {
        onArrival.accept(exchange);
        exchange.getResponseHeaders()
                .set("X-Attempt-Id", exchange.getRequestHeaders().getFirst("X-Attempt-Id"));
        exchange.getResponseHeaders().set("X-Server-Seal", "sealed");
        com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly(WORK_MS, TimeUnit.MILLISECONDS);
        final byte[] body = "done".getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, body.length);
        if (crashes.test(exchange)) {
            exchange.getResponseBody().write(body, 0, 1);
            exchange.getResponseBody().flush();
            crash();
            return;
        }
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private synchronized void crash() {
        if (server != null) {
            onCrash.run();
            stop();
            restartNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(DOWN_MS);
        }
    }

    private synchronized void stop() {
        server.stop(0);
        workers.shutdownNow();
        server = null;
    }

    @Override
    public synchronized void close() {
        closed = true;
        if (server != null) {
            stop();
        }
    }
}
