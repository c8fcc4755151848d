package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import com.google.common.util.concurrent.Uninterruptibles;
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
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests the streams and links of an entry node that stands still for a time while its endpoints do not. */
final class PausedNodeTest {
    private static final int ENDPOINTS = 4;
    private static final int STREAMS = 8;
    private static final int EVENTS = 40;
    private static final long EVENT_INTERVAL_MS = 25;
    private static final long TIMEOUT_S = 10;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final List<ServerSocket> endpoints = new ArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (final ServerSocket endpoint : endpoints) {
            endpoint.close();
        }
        loop.close();
    }

    /** Guards against a node that stood still and takes sound endpoints for silent or its links for cut. */
    @ParameterizedTest
    @CsvSource({
        // delay of the pause after the requests in ms, length in ms
        "0, 400",
        "0, 1000",
        "200, 1000",
        "200, 2000"
    })
    void pauseCutsNoStreamAndNoLinks(long afterMs, long pauseMs) throws Exception {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        final RoutableRecord[] records = new RoutableRecord[ENDPOINTS];
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            records[endpoint] = endpoint("vm-" + endpoint);
        }
        registry.apply(
                EntryFixture.view(EntryFixture.configuration(RouteKind.STREAMING, true), Map.of(), records),
                System.nanoTime());
        final CountDownLatch ended = new CountDownLatch(STREAMS);
        final List<RecordingWriter> writers = new ArrayList<>();
        final EntryServices services = EntryFixture.services(loop, registry);
        loop.eventLoop()
                .submit(() -> {
                    for (int stream = 0; stream < STREAMS; stream++) {
                        final RecordingWriter writer = new RecordingWriter();
                        writers.add(writer);
                        new Exchange(services, EntryFixture.request(ImmutableSet.of()), writer, ended::countDown)
                                .start();
                    }
                    pauseLoop(afterMs, pauseMs);
                })
                .get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(registry.linkState()).isEqualTo(LinkState.WORKING);
        for (final RecordingWriter writer : writers) {
            assertThat(writer.written()).contains("end");
            assertThat(writer.written()).doesNotContain("aborted");
        }
    }

    private void pauseLoop(long afterMs, long pauseMs) {
        final Runnable pause = () -> Uninterruptibles.sleepUninterruptibly(pauseMs, TimeUnit.MILLISECONDS);
        if (afterMs == 0) {
            pause.run();
        } else {
            final var unused = loop.eventLoop().schedule(pause, afterMs, TimeUnit.MILLISECONDS);
        }
    }

    private RoutableRecord endpoint(String name) throws IOException {
        final ServerSocket endpoint = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        endpoints.add(endpoint);
        start(name, () -> {
            while (!endpoint.isClosed()) {
                final Socket connection = endpoint.accept();
                start(name, () -> stream(connection));
            }
        });
        return EntryFixture.endpoint(name, endpoint.getLocalPort(), STREAMS);
    }

    private static void stream(Socket connection) throws IOException {
        try (connection) {
            if (connection.getInputStream().read(new byte[4_096]) < 0) {
                return;
            }
            write(
                    connection,
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n");
            for (int event = 1; event <= EVENTS; event++) {
                Uninterruptibles.sleepUninterruptibly(EVENT_INTERVAL_MS, TimeUnit.MILLISECONDS);
                write(connection, "id: " + event + "\ndata: a\n\n");
            }
        }
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        connection.getOutputStream().flush();
    }

    /** What a thread of an endpoint does until its connection or listener is closed. */
    @FunctionalInterface
    private interface Work {
        void run() throws IOException;
    }

    private static void start(String name, Work work) {
        final Thread thread = new Thread(
                () -> {
                    try {
                        work.run();
                    } catch (IOException e) {
                        // The node or the test has closed the connection or the listener.
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }
}
