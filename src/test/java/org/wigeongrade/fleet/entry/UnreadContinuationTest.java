package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.EndlessEndpoint;

/** Tests a stream that another endpoint continues without end, while the caller does not read its first part. */
final class UnreadContinuationTest {
    private static final String HEAD =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n" + "Content-Type: text/event-stream";
    private static final long TIMEOUT_MS = 10_000;
    private static final long STALL_MS = 3_500;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final AtomicInteger writtenEvents = new AtomicInteger();
    private Exchange exchange;

    @AfterEach
    void close() {
        loop.close();
    }

    /** The next endpoint was read as fast as it sent, and all of it was held for a caller that did not read. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                // what the first endpoint sends in one piece before it falls silent
                "\r\n\r\nid: 1\ndata: a\n\nid: 2",
                "\r\nTransfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\nno size\r\n",
            })
    void continuationIsNotReadWhileTheCallerDoesNotRead(String beginning) throws Exception {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        try (ServerSocket first = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                EndlessEndpoint second =
                        new EndlessEndpoint(HEAD + "\r\n\r\nid: 2\ndata: b\n\n", ":" + " ".repeat(1_000) + "\n\n")) {
            // The second endpoint is busier, so that the request is sent to the first.
            registry.apply(
                    EntryFixture.view(
                            EntryFixture.configuration(RouteKind.STREAMING, true),
                            Map.of("vm-2", 3),
                            EntryFixture.endpoint("vm-1", first.getLocalPort(), 4),
                            EntryFixture.endpoint("vm-2", second.port(), 4)),
                    System.nanoTime());
            exchange = new Exchange(
                    EntryFixture.services(loop, registry),
                    EntryFixture.request(ImmutableSet.of()),
                    new UnreadWriter(),
                    () -> {});
            loop.eventLoop().submit(exchange::start).get();
            try (Socket connection = first.accept()) {
                assertThat(connection.getInputStream().read(new byte[4_096])).isGreaterThan(0);
                connection.getOutputStream().write((HEAD + beginning).getBytes(StandardCharsets.UTF_8));
                Await.until("the first event is forwarded", TIMEOUT_MS, () -> writtenEvents.get() > 0);
                Await.sleepMs(STALL_MS);

                assertThat(writtenEvents.get()).isEqualTo(1);
            }
        }
    }

    /** A caller's connection that is full with the first event and is not read. Used on the event loop only. */
    private final class UnreadWriter implements ResponseWriter {
        @Override
        public void writeResponse(HttpReply reply) {}

        @Override
        public void writeResponse(BufferedResponse response) {}

        @Override
        public void beginStream(int status, HttpHeaders headers) {}

        @Override
        public void writeStream(byte[] bytes) {
            if (writtenEvents.incrementAndGet() == 1) {
                exchange.onCallerWritabilityChanged(false);
            }
        }

        @Override
        public void endStream() {}

        @Override
        public void abort() {}
    }
}
