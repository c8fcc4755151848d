package org.wigeongrade.command;

import com.google.common.util.concurrent.Uninterruptibles;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.settings.NodeAddress;

/**
 * An entry VM that sends its responses in turn and repeats the last one. Each is a status and a JSON body, or {@link
 * #CONNECTION_CLOSED}.
 */
final class FakeEntryVm implements AutoCloseable {
    /** Closes the connection after the request was read, without a response. */
    static final String CONNECTION_CLOSED = "lost";

    private final HttpServer server;
    private final long delayMs;
    private final Deque<String> responses;
    private final List<String> receivedRequests = Collections.synchronizedList(new ArrayList<>());

    FakeEntryVm(String... responses) throws IOException {
        this(0, responses);
    }

    /** @param delayMs time until each response is sent */
    FakeEntryVm(long delayMs, String... responses) throws IOException {
        this.delayMs = delayMs;
        this.responses = new ArrayDeque<>(List.of(responses));
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::respond);
        server.start();
    }

    NodeAddress address() {
        return new NodeAddress("127.0.0.1", server.getAddress().getPort());
    }

    /** Returns each received request as method, URI and body. */
    List<String> receivedRequests() {
        return List.copyOf(receivedRequests);
    }

    /** Returns an address that refuses connections. */
    static NodeAddress unreachableAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new NodeAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private void respond(HttpExchange exchange) throws IOException {
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        receivedRequests.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body);
        Uninterruptibles.sleepUninterruptibly(delayMs, TimeUnit.MILLISECONDS);
        final String response = responses.size() > 1 ? responses.remove() : responses.peek();
        if (response.equals(CONNECTION_CLOSED)) {
            exchange.close();
            return;
        }
        final byte[] bytes = response.substring(4).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(Integer.parseInt(response.substring(0, 3)), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
