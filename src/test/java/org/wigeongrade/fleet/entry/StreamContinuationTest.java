package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests what the caller gets of a stream that broke off at one endpoint and was sent to another one. */
final class StreamContinuationTest {
    private static final String FIRST = "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n"
            + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\nid: 2\nda";
    private static final long TIMEOUT_S = 10;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final RecordingWriter writer = new RecordingWriter();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger requests = new AtomicInteger();
    private final List<ServerSocket> endpoints = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (final ServerSocket endpoint : endpoints) {
            endpoint.close();
        }
        loop.close();
    }

    /** The text or head of an error that followed a broken stream was forwarded as a part of the stream, or ended it. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                // the response of the second endpoint, without the id and seal; what the caller gets
                "200 OK\\r\\nContent-Type: text/event-stream\\r\\n\\r\\nid: 2\\ndata: b\\n\\n | stream event event end",
                "200 OK\\r\\nContent-Type: text/event-stream; charset=utf-8\\r\\n\\r\\nid: 2\\ndata: b\\n\\n | stream event event end",
                "200 OK\\r\\nContent-Type: text/event-stream\\r\\n\\r\\n: wait\\n\\nid: 2\\ndata: b\\n\\n | stream event event event end",
                "200 OK\\r\\nContent-Type: text/event-stream\\r\\n\\r\\nid: 2\\ndata: b\\n\\nid: 3\\nda | stream event event aborted",
                "500 Error\\r\\nContent-Length: 8\\r\\n\\r\\ndata: x\\n | stream event aborted",
                "500 Error\\r\\nContent-Type: text/event-stream\\r\\n\\r\\nid: 2\\ndata: x\\n\\n | stream event aborted",
                "500 Error\\r\\nTransfer-Encoding: chunked\\r\\n\\r\\n9\\r\\ndata: x\\n\\n\\r\\n0\\r\\n\\r\\n | stream event aborted",
                "404 Not Found\\r\\nContent-Length: 0\\r\\n\\r\\n | stream event aborted",
                "503 Unavailable\\r\\nX-Not-Executed: 1\\r\\nContent-Length: 2\\r\\n\\r\\nno | stream event aborted",
                "503 Unavailable\\r\\nContent-Length: 2\\r\\n\\r\\nno | stream event aborted",
                "204 No Content\\r\\n\\r\\n | stream event aborted",
                "200 OK\\r\\nContent-Type: text/event-stream\\r\\n\\r\\n | stream event aborted",
                "200 OK\\r\\nContent-Type: text/event-stream\\r\\n | stream event aborted",
                "200 OK\\r\\nContent-Type: text/plain\\r\\nContent-Length: 8\\r\\n\\r\\noops\\n\\n\\n\\n | stream event aborted",
                "200 OK\\r\\nContent-Type: text/html\\r\\n\\r\\nid: 2\\ndata: x\\n\\n | stream event aborted",
                "200 OK\\r\\nContent-Type: text/event-stream\\r\\n\\r\\ndata: x\\n\\n | stream event aborted",
            })
    void onlyACorrectContinuationFollowsABrokenStream(String response, String expected) throws Exception {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        final String[] parts = response.translateEscapes().split("\r\n", 2);
        final String second = "HTTP/1.1 " + parts[0] + "\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n" + parts[1];
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(RouteKind.STREAMING, true),
                        Map.of(),
                        endpoint("vm-1", second),
                        endpoint("vm-2", second)),
                System.nanoTime());
        loop.eventLoop()
                .submit(() -> new Exchange(
                                EntryFixture.services(loop, registry),
                                EntryFixture.request(ImmutableSet.of()),
                                writer,
                                ended::countDown)
                        .start())
                .get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo(expected);
        assertThat(requests.get()).isAtLeast(2);
    }

    private RoutableRecord endpoint(String name, String second) throws IOException {
        final ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        endpoints.add(endpoint);
        final Thread accepting = new Thread(() -> respondToAll(endpoint, second), name);
        accepting.setDaemon(true);
        accepting.start();
        return EntryFixture.endpoint(name, endpoint.getLocalPort(), 4);
    }

    private void respondToAll(ServerSocket endpoint, String second) {
        try {
            while (true) {
                try (Socket connection = endpoint.accept()) {
                    final byte[] request = new byte[4_096];
                    assertThat(connection.getInputStream().read(request)).isGreaterThan(0);
                    final String response = requests.getAndIncrement() == 0 ? FIRST : second;
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            // The test has ended.
            assertThat(endpoint.isClosed()).isTrue();
        }
    }
}
