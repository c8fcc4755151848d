package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests callers of an endpoint that refuses a request and writes its refusal once more when the request is repeated. */
final class RefusalCopyTest {
    private static final String REFUSAL = "HTTP/1.1 503 Unavailable\r\nX-Attempt-Id: attempt\r\nX-Not-Executed: 1\r\n"
            + "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nno";
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n" + "Content-Length: 3\r\n\r\nran";
    private static final long TIMEOUT_S = 10;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (final Socket connection : connections) {
            connection.close();
        }
        loop.close();
    }

    /** A repeat of a refused request on its kept connection took a copy of the refusal for its own response. */
    @ParameterizedTest
    @CsvSource({"IDEMPOTENT", "NON_IDEMPOTENT"})
    void copyOfARefusalIsNotTakenForTheResponseToARepeat(RouteKind kind) throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            start(() -> acceptAll(endpoint));
            registry.apply(
                    EntryFixture.view(
                            EntryFixture.configuration(kind),
                            Map.of(),
                            EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4)),
                    System.nanoTime());
            final EntryServices services = loop.eventLoop()
                    .submit(() -> EntryFixture.services(loop, registry))
                    .get();

            assertThat(send(services)).contains("503");
            assertThat(send(services)).isEqualTo("status 200");
            assertThat(connections).hasSize(2);
        }
    }

    /** A refusal that does not name its request was believed, although it may belong to an earlier one. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // the head of the response to the first request on its connection
                "503 Unavailable\\r\\nX-Not-Executed: 1",
                "429 Too Many Requests\\r\\nX-Not-Executed: 1",
                "421 Misdirected Request",
                "503 Unavailable\\r\\nX-Attempt-Id: attempt",
                "429 Too Many Requests\\r\\nX-Attempt-Id: attempt",
                "408 Request Timeout\\r\\nX-Attempt-Id: attempt",
            })
    void refusalThatIsNotCertainIsNotPassedOn(String head) throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            start(() -> respond(endpoint, "HTTP/1.1 " + head.translateEscapes() + "\r\nContent-Length: 2\r\n\r\nno"));
            registry.apply(
                    EntryFixture.view(
                            EntryFixture.configuration(RouteKind.NON_IDEMPOTENT),
                            Map.of(),
                            EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4)),
                    System.nanoTime());
            final EntryServices services = loop.eventLoop()
                    .submit(() -> EntryFixture.services(loop, registry))
                    .get();

            assertThat(send(services)).contains("status=502");
        }
    }

    private String send(EntryServices services) throws Exception {
        final RecordingWriter writer = new RecordingWriter();
        final CountDownLatch ended = new CountDownLatch(1);
        loop.eventLoop()
                .submit(() -> new Exchange(services, EntryFixture.request(ImmutableSet.of()), writer, ended::countDown)
                        .start())
                .get();
        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        return String.join(" ", writer.written());
    }

    private static void start(Runnable task) {
        final Thread thread = new Thread(task, "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    /** Refuses the first request; repeats the refusal on its connection if another request comes there. */
    private void acceptAll(ServerSocket endpoint) {
        try {
            while (true) {
                final Socket connection = endpoint.accept();
                connections.add(connection);
                final boolean refuses = connections.size() == 1;
                start(() -> serve(connection, refuses));
            }
        } catch (IOException e) {
            // The test has ended.
            assertThat(endpoint.isClosed()).isTrue();
        }
    }

    private static void serve(Socket connection, boolean refuses) {
        try {
            final byte[] request = new byte[4_096];
            String response = refuses ? REFUSAL : RESPONSE;
            while (connection.getInputStream().read(request) > 0) {
                connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                response = REFUSAL + RESPONSE;
            }
        } catch (IOException e) {
            // The test has ended.
            assertThat(connection.isClosed()).isTrue();
        }
    }

    private void respond(ServerSocket endpoint, String response) {
        try {
            final Socket connection = endpoint.accept();
            connections.add(connection);
            final byte[] request = new byte[4_096];
            assertThat(connection.getInputStream().read(request)).isGreaterThan(0);
            connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
