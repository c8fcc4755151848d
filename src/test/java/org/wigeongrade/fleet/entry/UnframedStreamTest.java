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
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.decisions.outcomes.PartCompletions;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.CrashRecord;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.ids.VmName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests a stream with neither a length nor chunks, which ends with its connection. */
final class UnframedStreamTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\n\r\n";
    private static final long TIMEOUT_S = 10;
    private static final long HEARTBEAT_MS = 1_200;
    private static final PromptPartId PART = PromptPartId.of("5c1e07a2");

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, HEARTBEAT_MS, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
    private final RecordingWriter writer = new RecordingWriter();
    private final CountDownLatch ended = new CountDownLatch(1);

    @AfterEach
    void close() {
        loop.close();
    }

    /** A crash in the middle of an event counts as a loss, or requests that crash endpoints so are never found. */
    @ParameterizedTest
    @CsvSource({
        // what the endpoint sends before it closes the connection, what the caller gets, losses reported
        "'id: 1\ndata: a\n\n', 'stream event end', 0",
        "'id: 1\ndata: a\n\nid: 2\nda', 'stream event aborted', 1",
    })
    void streamThatEndsInsideAnEventIsALossOfItsEndpoint(String body, String expected, int losses) throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            sendRequest(endpoint, body);

            assertThat(String.join(" ", writer.written())).isEqualTo(expected);
            final List<CrashRecord> crashes = loop.eventLoop()
                    .submit(() -> registry.unreportedCrashes(System.nanoTime()))
                    .get();
            assertThat(crashes).hasSize(losses);
            assertThat(crashes.stream().flatMap(crash -> crash.getPromptParts().stream()))
                    .containsExactlyElementsIn(losses == 0 ? List.of() : List.of(PART.value()));
        }
    }

    /** No part ever counted as sound where responses state no end, so that all requests of a route were refused. */
    @ParameterizedTest
    @CsvSource({
        // what the endpoint sends before it closes the connection, whether the leader lists it later, completions
        "'id: 1\ndata: a\n\n', true, 1",
        "'id: 1\ndata: a\n\n', false, 0",
        "'id: 1\ndata: a\n\nid: 2\nda', true, 0",
    })
    void streamCountsForItsPromptPartsOnceItsEndpointHasSurvivedIt(String body, boolean listed, int completions)
            throws Exception {
        try (ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            sendRequest(endpoint, body);
            final long laterNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(6 * HEARTBEAT_MS);
            final List<Integer> counted = loop.eventLoop()
                    .submit(() -> {
                        registry.apply(view(endpoint, listed, laterNanos), laterNanos);
                        return registry.quarantinedParts().completionsInQuestion(laterNanos).values().stream()
                                .map(PartCompletions::count)
                                .toList();
                    })
                    .get();

            assertThat(counted).isEqualTo(completions == 0 ? List.of() : List.of(completions));
        }
    }

    private void sendRequest(ServerSocket endpoint, String body) throws Exception {
        final Thread responding = new Thread(() -> respond(endpoint, HEAD + body), "endpoint");
        responding.setDaemon(true);
        responding.start();
        registry.apply(view(endpoint, true, System.nanoTime()), System.nanoTime());
        loop.eventLoop()
                .submit(() -> new Exchange(
                                EntryFixture.services(loop, registry),
                                EntryFixture.request(ImmutableSet.of(PART)),
                                writer,
                                ended::countDown)
                        .start())
                .get();
        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
    }

    private static EntryView view(ServerSocket endpoint, boolean listed, long pullSentNanos) {
        return new EntryView(
                Optional.of(EntryFixture.configuration(RouteKind.STREAMING)),
                Set.of(),
                listed
                        ? Map.of(VmName.of("vm-1"), EntryFixture.endpoint("vm-1", endpoint.getLocalPort(), 4))
                        : Map.of(),
                Map.of(),
                Map.of(),
                List.of(),
                List.of(),
                Set.of(PART),
                1,
                List.of(),
                1,
                pullSentNanos,
                new LeaseTime(pullSentNanos),
                pullSentNanos);
    }

    private static void respond(ServerSocket endpoint, String response) {
        try (Socket connection = endpoint.accept()) {
            final byte[] request = new byte[4_096];
            assertThat(connection.getInputStream().read(request)).isGreaterThan(0);
            connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
