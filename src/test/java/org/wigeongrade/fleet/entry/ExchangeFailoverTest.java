package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** Tests a request at a stalled endpoint while another endpoint has free slots or is full. */
final class ExchangeFailoverTest {
    private static final int SLOTS = 4;
    /**
     * Longer than the stall timeout of an endpoint that was expected to respond at once; a view counts as recent for
     * longer.
     */
    private static final long STALL_MS = 700;

    private final SharedEventLoop loop = new SharedEventLoop();
    private final RecordingWriter writer = new RecordingWriter();
    private final List<ServerSocket> endpoints = new ArrayList<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();

    @AfterEach
    void close() throws IOException {
        for (final ServerSocket endpoint : endpoints) {
            endpoint.close();
        }
        loop.close();
    }

    @ParameterizedTest
    @CsvSource({"0, 2", "40, 1"})
    void requestFailsOverOnlyToAnEndpointWithFreeSlots(int requestsAtOther, int expectedConnections)
            throws IOException, InterruptedException, ExecutionException {
        final RoutableRecord silent = endpoint("silent");
        final RoutableRecord other = endpoint("other");
        final EndpointRegistry registry = new EndpointRegistry(
                new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
        registry.apply(
                EntryFixture.view(EntryFixture.configuration(), Map.of("other", SLOTS - 1), silent, other),
                System.nanoTime());
        loop.eventLoop()
                .submit(() -> new Exchange(
                                EntryFixture.services(loop, registry),
                                EntryFixture.request(ImmutableSet.of()),
                                writer,
                                () -> {})
                        .start())
                .get();
        loop.eventLoop()
                .submit(() -> registry.apply(
                        EntryFixture.view(
                                EntryFixture.configuration(), Map.of("other", requestsAtOther), silent, other),
                        System.nanoTime()))
                .get();
        TimeUnit.MILLISECONDS.sleep(STALL_MS);

        assertThat(connections).hasSize(expectedConnections);
        assertThat(writer.written()).isEmpty();
    }

    private RoutableRecord endpoint(String name) throws IOException {
        final ServerSocket endpoint = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        endpoints.add(endpoint);
        final Thread accepting = new Thread(() -> acceptAll(endpoint), name);
        accepting.setDaemon(true);
        accepting.start();
        return EntryFixture.endpoint(name, endpoint.getLocalPort(), SLOTS);
    }

    private void acceptAll(ServerSocket endpoint) {
        try {
            while (true) {
                connections.add(endpoint.accept());
            }
        } catch (IOException e) {
            // The test has ended.
            assertThat(endpoint.isClosed()).isTrue();
        }
    }
}
