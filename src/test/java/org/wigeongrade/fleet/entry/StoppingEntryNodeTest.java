package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests what callers see on open connections while their entry node stops. */
final class StoppingEntryNodeTest {
    private static final int MAX_BYTES = 64 * 1024;
    private static final int TIMEOUT_MS = 5_000;
    private static final int SILENCE_MS = 300;
    /** More than the buffers of both sides' sockets hold. */
    private static final int LARGE_BYTES = 16_000_000;

    private static final String EVENT = "d\r\nid: 1\ndata:\n\n\r\n";
    private static final String LAST_CHUNK = "0\r\n\r\n";

    private final SharedEventLoop loop = new SharedEventLoop();
    private final CallerConnections connections = new CallerConnections();
    private final BlockingQueue<Socket> atEndpoint = new LinkedBlockingQueue<>();
    private ServerSocket endpoint;

    @BeforeEach
    void listen() throws IOException {
        endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        final Thread accepting = new Thread(this::accept, "endpoint");
        accepting.setDaemon(true);
        accepting.start();
    }

    @AfterEach
    void close() throws IOException {
        endpoint.close();
        loop.close();
    }

    /** A connection whose stream had begun before the stop took another request, which the end of the process cut. */
    @Test
    void connectionOfAStreamThatBeganBeforeTheStopClosesAfterIt() throws Exception {
        try (Socket caller = connect(false)) {
            send(caller, "a1");
            final Socket stream = takeRequest("a1");
            beginStream(stream, "a1");
            readUntil(caller, EVENT);
            onLoop(connections::closeAfterNextResponse);
            write(stream, LAST_CHUNK);

            assertThat(readUntil(caller, LAST_CHUNK)).doesNotContain("HTTP/1.1");
            assertThat(caller.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** A request that had been read behind the current one was dropped when the current response closed the connection. */
    @Test
    void requestsReadBeforeTheStopAreServedBeforeTheConnectionCloses() throws Exception {
        try (Socket caller = connect(false)) {
            send(caller, "a1");
            final Socket stream = takeRequest("a1");
            send(caller, "a2");
            onLoop(() -> {});
            onLoop(connections::closeAfterNextResponse);
            beginStream(stream, "a1");
            write(stream, LAST_CHUNK);
            assertThat(readUntil(caller, LAST_CHUNK)).doesNotContain("connection: close");

            final Socket second = takeRequest("a2");
            beginStream(second, "a2");
            write(second, LAST_CHUNK);
            assertThat(readUntil(caller, LAST_CHUNK)).contains("connection: close");
            assertThat(caller.getInputStream().read()).isEqualTo(-1);
        }
    }

    /** A connection without a request when idle ones were closed stayed open until the end of the process. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void requestThatComesTooLateToBeFinishedIsRefusedUnsent(boolean fromEntryNode) throws Exception {
        try (Socket caller = connect(fromEntryNode)) {
            onLoop(connections::closeAfterNextResponse);
            onLoop(connections::refuseNewRequests);
            send(caller, "a1");

            final String refusal = readUntil(caller, "\r\n\r\n");
            assertThat(refusal).startsWith("HTTP/1.1 503");
            assertThat(refusal).contains("connection: close");
            assertThat(refusal).contains("retry-after: 0.1");
            assertThat(refusal.contains("x-wigeongrade-not-taken: 1")).isEqualTo(fromEntryNode);
            assertThat(atEndpoint.poll(SILENCE_MS, TimeUnit.MILLISECONDS)).isNull();
        }
    }

    /** A response that waited for a slow reader counted as finished: the end of the process or an idle timeout cut it. */
    @Test
    void responseThatItsCallerReadsSlowlyIsWaitedFor() throws Exception {
        try (Socket caller = connect(RouteKind.IDEMPOTENT, false)) {
            send(caller, "a1");
            final Socket connection = takeRequest("a1");
            write(
                    connection,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\nContent-Length: " + LARGE_BYTES
                            + "\r\n\r\n" + "x".repeat(LARGE_BYTES));
            readUntil(caller, "\r\n\r\n");
            onLoop(connections::closeAfterNextResponse);
            onLoop(connections::closeIdle);

            assertThat(inFlight()).isEqualTo(1);
            assertThat(caller.getInputStream().readNBytes(LARGE_BYTES)).hasLength(LARGE_BYTES);
            assertThat(inFlight()).isEqualTo(0);
        }
    }

    private int inFlight() throws Exception {
        return loop.eventLoop().submit(connections::inFlight).get();
    }

    private void accept() {
        try {
            while (true) {
                atEndpoint.add(endpoint.accept());
            }
        } catch (IOException closed) {
            assertThat(endpoint.isClosed()).isTrue();
        }
    }

    private Socket takeRequest(String attemptId) throws Exception {
        final Socket connection = atEndpoint.poll(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        assertWithMessage("connection with " + attemptId).that(connection).isNotNull();
        connection.setSoTimeout(TIMEOUT_MS);
        assertThat(readUntil(connection, "\r\n\r\n")).contains(attemptId);
        return connection;
    }

    private static void beginStream(Socket stream, String attemptId) throws IOException {
        write(
                stream,
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attemptId + "\r\nX-Server-Seal: s\r\nConnection: close\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n" + EVENT);
    }

    private static void send(Socket caller, String attemptId) throws IOException {
        write(caller, "POST /a HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: " + attemptId + "\r\nContent-Length: 0\r\n\r\n");
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Reads up to and including the text; fails at the end of the connection. */
    private static String readUntil(Socket socket, String text) throws IOException {
        final StringBuilder received = new StringBuilder();
        while (received.indexOf(text) < 0) {
            final int next = socket.getInputStream().read();
            assertWithMessage("after '" + received + "'").that(next).isNotEqualTo(-1);
            received.append((char) next);
        }
        return received.toString();
    }

    private void onLoop(Runnable task) throws Exception {
        loop.eventLoop().submit(task).get();
    }

    private Socket connect(boolean fromEntryNode) throws Exception {
        return connect(RouteKind.STREAMING, fromEntryNode);
    }

    private Socket connect(RouteKind kind, boolean fromEntryNode) throws Exception {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(kind),
                        Map.of(),
                        EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4)),
                System.nanoTime());
        final EntryServices services =
                EntryFixture.services(loop, registry, new BufferedBodies(2 * LARGE_BYTES, LARGE_BYTES));
        final InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        final HttpListener unused = HttpListener.open(loop, address, MAX_BYTES, pipeline -> {
            final RequestIntake intake = new RequestIntake(
                    new ClientMemory(MAX_BYTES, Integer.MAX_VALUE, System::nanoTime),
                    () -> TIMEOUT_MS,
                    TIMEOUT_MS,
                    new ClientClosings(new Metrics(), new EventLog()));
            intake.addTo(pipeline);
            pipeline.addLast(new HttpObjectAggregator(MAX_BYTES))
                    .addLast(new CallerConnection(services, connections, intake, fromEntryNode));
        });
        final Socket caller = new Socket(address.getAddress(), address.getPort());
        caller.setSoTimeout(TIMEOUT_MS);
        return caller;
    }
}
