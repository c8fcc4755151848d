package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpReply;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests what becomes of a request whose complete response cannot be handed to its caller's connection. */
final class FailedResponseTest {
    private static final long CALLER_WAIT_MS = 600;
    private static final long TIMEOUT_S = 10;
    private static final int INVALID_STATUS = -1;
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Length: 5\r\n\r\nwhole";

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());

    @AfterEach
    void close() {
        loop.close();
    }

    /** A request that had run was refused as not run when its deadline passed. */
    @ParameterizedTest
    @EnumSource(
            value = RouteKind.class,
            names = {"IDEMPOTENT", "NON_IDEMPOTENT"})
    void requestThatRanIsNotRefused(RouteKind kind) throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            final Thread answering = new Thread(() -> answer(endpoint), "endpoint");
            answering.setDaemon(true);
            answering.start();
            final FailingWriter writer = new FailingWriter();
            final CountDownLatch ended = new CountDownLatch(1);
            loop.eventLoop()
                    .submit(() -> {
                        registry.apply(
                                EntryFixture.view(
                                        EntryFixture.configuration(kind),
                                        Map.of(),
                                        EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4)),
                                System.nanoTime());
                        new Exchange(EntryFixture.services(loop, registry), request(), writer, ended::countDown)
                                .start();
                    })
                    .get();

            assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
            assertThat(writer.written).hasSize(1);
            assertThat(writer.written.get(0).status()).isNotEqualTo(ErrorKind.NO_FREE_SLOT.httpStatus());
        }
    }

    /** A caller waited until its timeout for a response that was lost in this node. */
    @Test
    void connectionIsClosedIfAResponseCannotBeBuilt() {
        final RequestIntake intake = new RequestIntake(
                new ClientMemory(1_000, Integer.MAX_VALUE, System::nanoTime),
                () -> CALLER_WAIT_MS,
                CALLER_WAIT_MS,
                new ClientClosings(new Metrics(), new EventLog()));
        final CallerConnection connection =
                new CallerConnection(EntryFixture.services(loop, registry), new CallerConnections(), intake, false);
        final EmbeddedChannel channel = new EmbeddedChannel(connection);
        final BufferedBody body = new BufferedBodies(1_000, 1_000).open(new BufferedBody.Source() {
            @Override
            public void setReading(boolean enabled) {}

            @Override
            public void giveUp(String cause) {}
        });

        connection.writeResponse(new BufferedResponse(INVALID_STATUS, new DefaultHttpHeaders(), body));

        assertThat(channel.isActive()).isFalse();
        assertThat(body.isReleased()).isTrue();
    }

    private static CallerRequest request() {
        final CallerRequest request = EntryFixture.request(ImmutableSet.of());
        return new CallerRequest(
                request.attemptId(),
                request.method(),
                request.hostname(),
                request.target(),
                request.path(),
                OptionalLong.of(CALLER_WAIT_MS),
                request.apiKey(),
                request.model(),
                request.promptTokens(),
                request.sharedPromptParts(),
                request.lastEventId(),
                request.headers(),
                request.body());
    }

    private static void answer(ServerSocket endpoint) {
        while (!endpoint.isClosed()) {
            try (Socket connection = endpoint.accept()) {
                if (connection.getInputStream().read(new byte[4_096]) > 0) {
                    connection.getOutputStream().write(RESPONSE.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The test has ended, or the node has closed this connection.
            }
        }
    }

    /** Fails as if there were no memory for an endpoint's response, and records the node's own. */
    private static final class FailingWriter implements ResponseWriter {
        private final List<HttpReply> written = new CopyOnWriteArrayList<>();

        @Override
        public void writeResponse(HttpReply reply) {
            written.add(reply);
        }

        @Override
        public void writeResponse(BufferedResponse response) {
            throw new OutOfMemoryError("Java heap space");
        }

        @Override
        public void beginStream(int status, HttpHeaders headers) {}

        @Override
        public void writeStream(byte[] bytes) {}

        @Override
        public void endStream() {}

        @Override
        public void abort() {}
    }
}
