package org.wigeongrade.command;

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
import org.wigeongrade.settings.NodeAddress;

/** An entry VM that gives its answers in turn, the last one for good. Each is a status and a JSON body, or {@link #LOST}. */
final class FakeEntry implements AutoCloseable {
    /** The connection is closed after the request was read. */
    static final String LOST = "lost";

    private final HttpServer server;
    private final Deque<String> answers;
    private final List<String> received = Collections.synchronizedList(new ArrayList<>());

    FakeEntry(String... answers) throws IOException {
        this.answers = new ArrayDeque<>(List.of(answers));
        this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.createContext("/", this::answer);
        server.start();
    }

    NodeAddress address() {
        return new NodeAddress("127.0.0.1", server.getAddress().getPort());
    }

    /** Returns each request as method, URI and body. */
    List<String> received() {
        return List.copyOf(received);
    }

    /** Returns an address that refuses connections. */
    static NodeAddress unreachable() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new NodeAddress("127.0.0.1", socket.getLocalPort());
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        final String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        received.add(exchange.getRequestMethod() + " " + exchange.getRequestURI() + " " + body);
        final String answer = answers.size() > 1 ? answers.remove() : answers.peek();
        if (answer.equals(LOST)) {
            exchange.close();
            return;
        }
        final byte[] bytes = answer.substring(4).getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(Integer.parseInt(answer.substring(0, 3)), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
