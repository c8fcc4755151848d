package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests the requests of a node whose links to endpoints are cut, with two other entry nodes that respond as scripted. */
final class ExchangeRelayTest {
    private static final Map<String, String> RESPONSES = Map.of(
            "stream", "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n\r\nid: 1\ndata: a\n\n",
            "cut stream", "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n\r\nid: 1\ndata: a\n\nid: 2",
            "continued", "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n\r\nid: 2\ndata: b\n\n",
            "endpoint error",
                    "HTTP/1.1 500 E\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx",
            "refused", "HTTP/1.1 503 U\r\nX-Attempt-Id: attempt\r\nContent-Length: 1\r\n\r\nx",
            "not taken",
                    "HTTP/1.1 503 U\r\nX-Attempt-Id: attempt\r\nX-Wigeongrade-Not-Taken: 1\r\nContent-Length: 1\r\n\r\nx",
            "status 600", "HTTP/1.1 600 T\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n\r\n",
            "blank in a name",
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nX Pad: a\r\n\r\nid: 1\ndata: a\n\n");
    private static final long TIMEOUT_S = 10;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
    private final RecordingWriter writer = new RecordingWriter();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final Queue<String> script = new ConcurrentLinkedQueue<>();
    private ServerSocket first;
    private ServerSocket second;

    @BeforeEach
    void start() throws IOException {
        first = startEntryNode();
        second = startEntryNode();
    }

    @AfterEach
    void close() throws IOException {
        first.close();
        second.close();
        loop.close();
    }

    /** A response of another node must neither mix with a stream that has begun nor hide that an attempt may have run. */
    @ParameterizedTest
    @CsvSource({
        // what the nodes respond, one after the other, and what the caller gets
        "stream, 'stream event end'",
        "endpoint error, 'status 500'",
        "refused, 'status 503'",
        "not taken:stream, 'stream event end'",
        "cut stream:continued, 'stream event event end'",
        "cut stream:endpoint error, 'stream event aborted'",
        "cut stream:refused, 'stream event aborted'",
        "cut stream:cut stream, 'stream event aborted'",
        "status 600:stream, 'stream event end'",
        "blank in a name:stream, 'stream event end'",
    })
    void callerGetsOneConsistentResponse(String responses, String expected) throws Exception {
        script.addAll(ImmutableList.copyOf(responses.split(":")));
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(RouteKind.STREAMING, true),
                        Map.of(),
                        List.of("127.0.0.1:" + first.getLocalPort(), "127.0.0.1:" + second.getLocalPort()),
                        EntryFixture.endpoint("vm-1", closedPort(), 4),
                        EntryFixture.endpoint("vm-2", closedPort(), 4)),
                System.nanoTime());
        final EntryServices services = loop.eventLoop()
                .submit(() -> EntryFixture.services(loop, registry))
                .get();
        loop.eventLoop()
                .submit(() -> registry.routableEndpoints().forEach(services.endpointLinks()::recordFailure))
                .get();
        while (loop.eventLoop().submit(registry::linkState).get() != LinkState.CUT) {
            TimeUnit.MILLISECONDS.sleep(5);
        }
        loop.eventLoop()
                .submit(() -> new Exchange(services, EntryFixture.request(ImmutableSet.of()), writer, ended::countDown)
                        .start())
                .get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo(expected);
        assertThat(script).isEmpty();
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private ServerSocket startEntryNode() throws IOException {
        final ServerSocket node = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        final Thread responding = new Thread(() -> respond(node), "entry node");
        responding.setDaemon(true);
        responding.start();
        return node;
    }

    private void respond(ServerSocket node) {
        while (!node.isClosed()) {
            try (Socket connection = node.accept()) {
                final byte[] request = new byte[4_096];
                assertThat(connection.getInputStream().read(request)).isGreaterThan(0);
                connection
                        .getOutputStream()
                        .write(RESPONSES.get(script.remove()).getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                // The test has ended.
                assertThat(node.isClosed()).isTrue();
            }
        }
    }
}
