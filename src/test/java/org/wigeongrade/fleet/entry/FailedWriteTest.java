package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Pattern: one write to a caller fails for want of memory, and the connection stays open. */
final class FailedWriteTest {
    private static final int MAX_BYTES = 64 * 1024;
    private static final int TIMEOUT_MS = 5_000;
    private static final int NONE = 0;
    private static final String REQUEST = "GET /a HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: a1\r\n";
    private static final String CLOSE = "connection: close\r\n";
    private static final String STREAM = """
            HTTP/1.1 200 OK
            X-Attempt-Id: a1
            X-Server-Seal: s
            Content-Type: text/event-stream

            id: 1
            data: a

            id: 2
            data: b

            """;
    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\nX-Server-Seal: s\r\n\r\nwhole body";

    private final SharedEventLoop loop = new SharedEventLoop();
    private ServerSocket endpoint;
    private volatile String response = RESPONSE;

    @BeforeEach
    void listen() throws IOException {
        endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        final Thread accepting = new Thread(this::answerAll, "endpoint");
        accepting.setDaemon(true);
        accepting.start();
    }

    @AfterEach
    void close() throws IOException {
        endpoint.close();
        loop.close();
    }

    /** A stream went on without the event that could not be written, or a caller waited for the rest until it gave up. */
    @ParameterizedTest
    @CsvSource({
        // kind of the route, which write fails
        "STREAMING, 1",
        "STREAMING, 2",
        "STREAMING, 3",
        "STREAMING, 4",
        "STREAMING, 6",
        "STREAMING, 8",
        "IDEMPOTENT, 1",
        "NON_IDEMPOTENT, 1",
    })
    void responseThatCannotBeWrittenEndsWithItsConnection(RouteKind kind, int failingWrite) throws Exception {
        response = kind.streams() ? STREAM : RESPONSE;
        final String whole = request(kind, NONE, CLOSE).replace(CLOSE, "");
        final String received = request(kind, failingWrite, "");

        assertThat(whole).startsWith(received);
        assertThat(received.length()).isLessThan(whole.length());
    }

    /** Returns all that a caller gets until its connection ends. */
    private String request(RouteKind kind, int failingWrite, String headers) throws Exception {
        final InetSocketAddress address = openListener(kind, failingWrite);
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(TIMEOUT_MS);
            caller.getOutputStream().write((REQUEST + headers + "\r\n").getBytes(StandardCharsets.US_ASCII));
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private InetSocketAddress openListener(RouteKind kind, int failingWrite) throws Exception {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 1_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(kind, true),
                        Map.of(),
                        EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4)),
                System.nanoTime());
        final EntryServices services = EntryFixture.services(loop, registry);
        final InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        HttpListener.open(loop, address, MAX_BYTES, pipeline -> {
            final RequestIntake intake = new RequestIntake(
                    new ClientMemory(MAX_BYTES, Integer.MAX_VALUE, System::nanoTime),
                    () -> TIMEOUT_MS,
                    TIMEOUT_MS,
                    new ClientClosings(new Metrics(), new EventLog()));
            intake.addTo(pipeline);
            pipeline.addFirst(new FailingWrite(failingWrite))
                    .addLast(new HttpObjectAggregator(MAX_BYTES))
                    .addLast(new CallerConnection(services, new CallerConnections(), intake, false));
        });
        return address;
    }

    /** Fails one write of bytes to the connection. */
    private static final class FailingWrite extends ChannelOutboundHandlerAdapter {
        private final int failingWrite;
        private int writes;

        FailingWrite(int failingWrite) {
            this.failingWrite = failingWrite;
        }

        @Override
        public void write(ChannelHandlerContext context, Object bytes, ChannelPromise promise) throws Exception {
            writes++;
            if (writes == failingWrite) {
                ((ByteBuf) bytes).release();
                throw new OutOfMemoryError("Cannot reserve direct buffer memory");
            }
            super.write(context, bytes, promise);
        }
    }

    private void answerAll() {
        while (!endpoint.isClosed()) {
            try (Socket connection = endpoint.accept()) {
                if (connection.getInputStream().read(new byte[4_096]) > 0) {
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The test has ended, or the node has closed this connection.
            }
        }
    }
}
