package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.published.RouteKind;
import org.wigeongrade.decisions.reachability.LinkState;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.fleet.thrift.RoutableRecord;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/** The limit on replicas that may run a request which entry nodes relay to each other. */
final class RelayedAttemptsTest {
    private static final long TIMEOUT_S = 10;
    /** Of the route of {@link EntryFixture}. */
    private static final int MAX_ATTEMPTS = 2;

    private static final String FAILURE =
            "HTTP/1.1 500 Error\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n";
    private static final String SUCCESS =
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: attempt\r\nX-Server-Seal: s\r\nContent-Length: 1\r\n\r\nx";

    private final SharedEventLoop loop = new SharedEventLoop();
    private final EndpointRegistry registry = new EndpointRegistry(
            new EventLog(), new Metrics(), 60_000, 1_200, EntryFixture.LEASE_CLOCK.now(), System.nanoTime());
    private final RecordingWriter writer = new RecordingWriter();
    private final CountDownLatch ended = new CountDownLatch(1);
    private final List<ServerSocket> servers = new ArrayList<>();
    private final Queue<RelayOrigin> origins = new ConcurrentLinkedQueue<>();
    private final Queue<String> requests = new ConcurrentLinkedQueue<>();

    @AfterEach
    void close() throws IOException {
        for (final ServerSocket server : servers) {
            server.close();
        }
        loop.close();
    }

    /** A relay that was left for its silence counted as one run, though its node could have used all that were left. */
    @ParameterizedTest
    @CsvSource({
        // time after which the other nodes respond, and nodes that get the request
        "100, 1",
        "2500, 2",
        "4500, 2",
    })
    void silentRelaysAreGrantedNoMoreThanTheMaximum(long respondAfterMs, int nodes) throws Exception {
        final int[] ports = new int[3];
        for (int i = 0; i < ports.length; i++) {
            ports[i] = serve(message -> sleep(respondAfterMs), SUCCESS);
        }
        final Exchange exchange = exchangeOfCutNode(ports);
        loop.eventLoop().submit(exchange::start).get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo("status 200");
        assertThat(origins).hasSize(nodes);
        assertThat(origins.stream().mapToInt(RelayedAttemptsTest::runsAllowed).sum())
                .isAtMost(MAX_ATTEMPTS);
    }

    /** A replica that failed behind a relay leaves a run, also if no other node can take the request. */
    @ParameterizedTest
    @CsvSource({"1, 2", "3, 2"})
    void failureBehindARelayIsRetriedWithinTheMaximum(int nodes, int relays) throws Exception {
        final int[] ports = new int[nodes];
        for (int i = 0; i < nodes; i++) {
            ports[i] = serve(message -> {}, FAILURE);
        }
        final Exchange exchange = exchangeOfCutNode(ports);
        loop.eventLoop().submit(exchange::start).get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(String.join(" ", writer.written())).isEqualTo("status 500");
        assertThat(origins).hasSize(relays);
    }

    /** A node that got a relayed request used all runs that the first node had left, beside those of the next relay. */
    @ParameterizedTest
    @CsvSource({
        // runs before, runs granted or none stated, replicas that get the request
        "0, 1, 1",
        "0, 2, 2",
        "1, 1, 1",
        "0, , 2",
        "1, , 1",
    })
    void nodeKeepsToWhatItWasGranted(int earlier, Integer granted, int replicas) throws Exception {
        final RoutableRecord[] endpoints = new RoutableRecord[3];
        for (int i = 0; i < endpoints.length; i++) {
            endpoints[i] = EntryFixture.endpoint("vm-" + i, serve(message -> {}, FAILURE), 4);
        }
        registry.apply(
                EntryFixture.view(EntryFixture.configuration(RouteKind.IDEMPOTENT), Map.of(), endpoints),
                System.nanoTime());
        final RelayOrigin origin = new RelayOrigin(
                earlier, granted == null ? OptionalInt.empty() : OptionalInt.of(granted), 1, Optional.empty());
        loop.eventLoop()
                .submit(() -> new Exchange(
                                EntryFixture.services(loop, registry),
                                EntryFixture.request(ImmutableSet.of()),
                                Optional.of(origin),
                                writer,
                                ended::countDown)
                        .start())
                .get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(requests).hasSize(replicas);
    }

    /** A node went on sending to a leaving replica, since another node had relayed the response that said so. */
    @ParameterizedTest
    @CsvSource({
        // headers of the relayed response, and whether the endpoint that they name gets requests
        "'', true",
        "'Server-Leaving: 1', true",
        "'X-Wigeongrade-Endpoint: vm-1#1', true",
        "'Server-Leaving: 1|X-Wigeongrade-Endpoint: vm-1#1', false",
        "'Server-Leaving: 1|X-Wigeongrade-Endpoint: vm-1#2', true",
        "'Server-Leaving: 1|X-Wigeongrade-Endpoint: vm-2#1', true",
        "'Server-Leaving: 1|X-Wigeongrade-Endpoint: vm-1', true",
        "'Server-Leaving: 1|X-Wigeongrade-Endpoint: a b#1', true",
    })
    void leavingEndpointBehindARelayGetsNoMoreRequests(String headers, boolean routable) throws Exception {
        final String stated = headers.isEmpty() ? "" : headers.replace("|", "\r\n") + "\r\n";
        final int port = serve(message -> {}, SUCCESS.replace("Content-Length", stated + "Content-Length"));
        final Exchange exchange = exchangeOfCutNode(port);
        loop.eventLoop().submit(exchange::start).get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(writer.headers().contains("x-wigeongrade-endpoint")).isFalse();
        assertThat(registry.candidates(EntryFixture.SERVICE, Optional.empty(), System.nanoTime()).stream()
                        .anyMatch(load -> load.vm().vm().value().equals("vm-1")))
                .isEqualTo(routable);
    }

    /** The other node has to name the endpoint, as only it knows which one responded. */
    @ParameterizedTest
    @CsvSource({"true, vm-1#1", "false, "})
    void endpointIsNamedToNodesOnly(boolean relayed, String named) throws Exception {
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(RouteKind.IDEMPOTENT),
                        Map.of(),
                        EntryFixture.endpoint("vm-1", serve(message -> {}, SUCCESS), 4)),
                System.nanoTime());
        final Optional<RelayOrigin> origin = Optional.of(new RelayOrigin(0, OptionalInt.of(1), 1, Optional.empty()))
                .filter(known -> relayed);
        loop.eventLoop()
                .submit(() -> new Exchange(
                                EntryFixture.services(loop, registry),
                                EntryFixture.request(ImmutableSet.of()),
                                origin,
                                writer,
                                ended::countDown)
                        .start())
                .get();

        assertThat(ended.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(writer.headers().get("x-wigeongrade-endpoint")).isEqualTo(named);
    }

    private static int runsAllowed(RelayOrigin origin) {
        return origin.granted().orElse(MAX_ATTEMPTS - origin.earlierAttempts());
    }

    private Exchange exchangeOfCutNode(int... peerPorts) throws Exception {
        registry.apply(
                EntryFixture.view(
                        EntryFixture.configuration(RouteKind.IDEMPOTENT),
                        Map.of(),
                        Arrays.stream(peerPorts)
                                .mapToObj(port -> "127.0.0.1:" + port)
                                .toList(),
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
        return new Exchange(services, EntryFixture.request(ImmutableSet.of()), writer, ended::countDown);
    }

    private static int closedPort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    /** Starts a node or endpoint that gives every request the same response, and returns its port. */
    private int serve(Consumer<String> beforeResponse, String response) throws IOException {
        final ServerSocket server = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        servers.add(server);
        final Thread accepting = new Thread(() -> respondToAll(server, beforeResponse, response), "server");
        accepting.setDaemon(true);
        accepting.start();
        return server.getLocalPort();
    }

    private void respondToAll(ServerSocket server, Consumer<String> beforeResponse, String response) {
        while (!server.isClosed()) {
            try (Socket connection = server.accept()) {
                final byte[] bytes = new byte[4_096];
                final int length = connection.getInputStream().read(bytes);
                if (length > 0) {
                    final String message = new String(bytes, 0, length, StandardCharsets.US_ASCII);
                    requests.add(message);
                    origins.add(RelayHeaders.takeOrigin(headersOf(message)));
                    beforeResponse.accept(message);
                    connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
                }
            } catch (IOException e) {
                // The test has ended, or the node has closed this connection.
            }
        }
    }

    private static HttpHeaders headersOf(String message) {
        final HttpHeaders headers = new DefaultHttpHeaders();
        message.lines()
                .skip(1)
                .filter(line -> line.contains(": "))
                .forEach(line ->
                        headers.add(line.substring(0, line.indexOf(": ")), line.substring(line.indexOf(": ") + 2)));
        return headers;
    }

    private static void sleep(long forMs) {
        com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly(forMs, TimeUnit.MILLISECONDS);
    }
}
