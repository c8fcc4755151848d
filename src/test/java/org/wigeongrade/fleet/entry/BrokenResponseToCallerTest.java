package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.handler.codec.http.HttpObjectAggregator;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.ClientClosings;
import org.wigeongrade.fleet.net.ClientMemory;
import org.wigeongrade.fleet.net.HttpListener;
import org.wigeongrade.fleet.net.RequestIntake;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.responses.BrokenResponses;
import org.wigeongrade.responses.ScriptedEndpoint;
import org.wigeongrade.responses.SoundResponses;

/** Pattern: one caller of an entry node of a fleet, whose only endpoint sends bytes that are no response. */
final class BrokenResponseToCallerTest {
    private static final int MAX_BYTES = 32 * 1024 * 1024;
    private static final int TIMEOUT_MS = 10_000;
    /** More than the buffers of both sides' sockets hold. */
    private static final int LARGE_BYTES = 16_000_000;

    private static final String BAD_GATEWAY = "HTTP/1.1 502 ";

    private final SharedEventLoop loop = new SharedEventLoop();

    @AfterEach
    void close() {
        loop.close();
    }

    /** Callers got a status that is none, a line under another name, a part of the body, or nothing until their deadline. */
    @ParameterizedTest
    @MethodSource("org.wigeongrade.responses.BrokenResponses#withBothEnds")
    void brokenResponseIsABadGateway(BrokenResponses broken, ScriptedEndpoint.End end) throws Exception {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(broken.bytes(), end)) {
            final String received = call(endpoint, RouteKind.NON_IDEMPOTENT, 0);

            assertThat(received).startsWith(BAD_GATEWAY);
            assertThat(received).doesNotContain("X-Server-Seal");
            assertThat(endpoint.requests()).isEqualTo(1);
        }
    }

    /** An endpoint got no more requests after a broken response had stated a pause, a limit, or that it leaves. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nRetry-After: 60\r\n",
                "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nServer-Limit: 0.001\r\n",
                "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nServer-Leaving: 1\r\n",
            })
    void brokenResponseIsNotBelieved(String head) throws Exception {
        final String chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
        for (final String later : List.of("X Pad: a\r\n\r\n", "1\r\nab")) {
            final String first = later.startsWith("X") ? head : chunked;
            try (ScriptedEndpoint endpoint = new ScriptedEndpoint(first, later, ScriptedEndpoint.End.STAYS_OPEN)) {
                final InetSocketAddress address = openListener(endpoint, RouteKind.NON_IDEMPOTENT);

                assertThat(call(address, 0)).startsWith(BAD_GATEWAY);
                assertThat(call(address, 0)).startsWith(BAD_GATEWAY);
                assertThat(endpoint.requests()).isEqualTo(2);
            }
        }
    }

    /** A caller got the part of a response that had arrived before the reset as a complete one. */
    @ParameterizedTest
    @EnumSource(RouteKind.class)
    void partOfAResponseThatIsResetDuringTheUploadIsNotComplete(RouteKind kind) throws Exception {
        final String part = kind.streams()
                ? "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n"
                : "HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\n\r\npart";
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(part, ScriptedEndpoint.End.RESET_DURING_UPLOAD)) {
            final String received = call(endpoint, kind, LARGE_BYTES);

            if (kind.streams() && received.startsWith("HTTP/1.1 200 ")) {
                assertThat(received).doesNotContain("\r\n0\r\n\r\n");
                assertThat(received).doesNotContain("content-length");
            } else {
                assertThat(received).startsWith(BAD_GATEWAY);
            }
        }
    }

    /** Guards against a check of responses that fails those which endpoints may send. */
    @ParameterizedTest
    @EnumSource(SoundResponses.class)
    void soundResponseIsForwarded(SoundResponses sound) throws Exception {
        try (ScriptedEndpoint endpoint = new ScriptedEndpoint(sound.bytes(), ScriptedEndpoint.End.CLOSED)) {
            final String received = call(endpoint, RouteKind.NON_IDEMPOTENT, 0);

            assertThat(received).startsWith("HTTP/1.1 " + sound.status() + " ");
            assertThat(received).endsWith("\r\n\r\n" + sound.body());
        }
    }

    private String call(ScriptedEndpoint endpoint, RouteKind kind, int bodyBytes) throws Exception {
        return call(openListener(endpoint, kind), bodyBytes);
    }

    /** Returns all that a caller gets until its connection ends. */
    private static String call(InetSocketAddress address, int bodyBytes) throws Exception {
        final String head =
                "POST /a HTTP/1.1\r\nHost: host\r\nX-Attempt-Id: a1\r\nConnection: close\r\nContent-Length: "
                        + bodyBytes + "\r\n\r\n";
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(TIMEOUT_MS);
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            caller.getOutputStream().write(new byte[bodyBytes]);
            return new String(caller.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }

    private InetSocketAddress openListener(ScriptedEndpoint endpoint, RouteKind kind) throws IOException {
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 1_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(kind), Map.of(), EntryFixture.endpoint("vm-1", endpoint.port(), 4)),
                System.nanoTime());
        final EntryServices services =
                EntryFixture.services(loop, registry, new BufferedBodies(2L * MAX_BYTES, MAX_BYTES));
        final InetSocketAddress address;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = (InetSocketAddress) free.getLocalSocketAddress();
        }
        HttpListener.open(loop, address, MAX_BYTES, pipeline -> {
            final RequestIntake intake = new RequestIntake(
                    new ClientMemory(2L * MAX_BYTES, Integer.MAX_VALUE, System::nanoTime),
                    () -> TIMEOUT_MS,
                    TIMEOUT_MS,
                    new ClientClosings(new Metrics(), new EventLog()));
            intake.addTo(pipeline);
            pipeline.addLast(new HttpObjectAggregator(MAX_BYTES))
                    .addLast(new CallerConnection(services, new CallerConnections(), intake, false));
        });
        return address;
    }
}
