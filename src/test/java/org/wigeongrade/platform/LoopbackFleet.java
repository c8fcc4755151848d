package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.util.concurrent.Uninterruptibles;
import com.sun.net.httpserver.HttpExchange;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.wigeongrade.fleet.control.ControlNode;
import org.wigeongrade.fleet.entry.EntryNode;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;
import org.wigeongrade.proof.LoopbackPorts;
import org.wigeongrade.settings.FleetKey;
import org.wigeongrade.settings.FleetRole;
import org.wigeongrade.settings.FleetSettings;
import org.wigeongrade.settings.NodeAddress;

/**
 * A control node and two entry nodes over loopback, with one idempotent route to endpoints that use the platform's wire
 * format. Thread safe.
 */
final class LoopbackFleet implements AutoCloseable {
    static final int ENTRIES = 2;
    static final long AWAIT_TIMEOUT_MS = 20_000;
    private static final String CONTROL_IP = "127.0.0.1";
    private static final List<String> ENTRY_IPS = List.of("127.0.0.2", "127.0.0.3");
    private static final long HEARTBEAT_MS = 150;

    private final Path folder;
    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
    private final AtomicLong requests = new AtomicLong();
    private final List<CrashableEndpoint> endpoints = new ArrayList<>();
    private final List<EntryNode> entries = new ArrayList<>();
    private final int firstPort;
    private final ControlNode control;

    /**
     * Starts the nodes and endpoints.
     *
     * @param responder called for each request that arrives at an endpoint, before it is served
     * @param crashes whether the endpoint crashes as it begins to write the response
     */
    LoopbackFleet(Path folder, int endpointCount, EndpointResponder responder, Predicate<HttpExchange> crashes) {
        this.folder = folder;
        firstPort = LoopbackPorts.allocateRange(6 + endpointCount);
        final EventLog events = new EventLog();
        control = new ControlNode(
                settings("control-1", FleetRole.CONTROL, CONTROL_IP),
                new ConfigurationReader(),
                new PlatformOrderCodec(),
                events,
                new Metrics());
        control.start(ControlApi::new);
        for (final String ip : ENTRY_IPS) {
            final EntryNode entry = new EntryNode(
                    settings("entry-" + ip.substring(ip.lastIndexOf('.') + 1), FleetRole.ENTRY, ip),
                    new ConfigurationReader(),
                    new PlatformCallerCodec(),
                    events,
                    new Metrics());
            entry.start();
            entries.add(entry);
        }
        await("configuration accepted", () -> post("/-/configuration/replace", """
                {"version":7,"routes":[{"name":"app-2","hostname":"127.0.0.2","pathPrefix":"/app/","kind":"idempotent",
                "timeoutMs":4000,"maxAttempts":2,"service":"app"},
                {"name":"app-3","hostname":"127.0.0.3","pathPrefix":"/app/","kind":"idempotent",
                "timeoutMs":4000,"maxAttempts":2,"service":"app"}],
                "services":[{"name":"app","maxConnections":400}],
                "tenants":[{"name":"shop","apiKeys":["key-1"]}]}""") == 200);
        for (int number = 0; number < endpointCount; number++) {
            final int endpoint = number;
            endpoints.add(new CrashableEndpoint(
                    "i-" + number,
                    firstPort + 6 + number,
                    crashes,
                    exchange -> responder.onRequest(endpoint, exchange),
                    () -> responder.onCrash(endpoint)));
        }
        repeat(this::sendHeartbeats, HEARTBEAT_MS);
        await(
                "requests served by both entry nodes",
                () -> IntStream.range(0, ENTRIES)
                        .allMatch(entry -> send(entry, "5a5a:40,1:300").join() == 200));
    }

    /** What a test does when a request arrives at an endpoint or the endpoint crashes. */
    interface EndpointResponder {
        void onRequest(int endpoint, HttpExchange exchange);

        default void onCrash(int endpoint) {}
    }

    /** Sends a request with these prompt parts to an entry node; returns the status, or 0 if there was no response. */
    CompletableFuture<Integer> send(int entry, String promptParts) {
        final long number = requests.incrementAndGet();
        final URI uri = URI.create("http://" + ENTRY_IPS.get(entry) + ":" + (firstPort + 4) + "/app/" + number);
        final HttpRequest request = HttpRequest.newBuilder(uri)
                .header("X-Attempt-Id", "attempt-" + number)
                .header("X-Credential", "key-1")
                .header("X-Deadline-Ms", "4000")
                .header("X-Prompt-Prefix", promptParts)
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) -> response == null ? 0 : response.statusCode());
    }

    /** Runs an action at a fixed rate until the fleet is closed or {@link #stopRepeating} is called. */
    void repeat(Runnable action, long intervalMs) {
        final var unused = scheduler.scheduleAtFixedRate(action, 0, intervalMs, TimeUnit.MILLISECONDS);
    }

    void stopRepeating() throws InterruptedException {
        scheduler.shutdown();
        final var unused = scheduler.awaitTermination(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    static void await(String expectation, BooleanSupplier condition) {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            assertWithMessage("%s within %s ms", expectation, AWAIT_TIMEOUT_MS)
                    .that(System.nanoTime() - deadlineNanos)
                    .isLessThan(0);
            Uninterruptibles.sleepUninterruptibly(50, TimeUnit.MILLISECONDS);
        }
    }

    private void sendHeartbeats() {
        for (final CrashableEndpoint endpoint : endpoints) {
            final String heartbeat = endpoint.heartbeat();
            if (!heartbeat.isEmpty()) {
                post("/-/instances/" + endpoint.vm() + "/heartbeat", heartbeat);
            }
        }
    }

    private int post(String path, String body) {
        final HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + CONTROL_IP + ":" + (firstPort + 3) + path))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
                .join()
                .statusCode();
    }

    private FleetSettings settings(String name, FleetRole role, String ip) {
        final boolean isControl = role == FleetRole.CONTROL;
        final NodeAddress controlListen = new NodeAddress(CONTROL_IP, firstPort + 3);
        return new FleetSettings(
                NodeName.of(name),
                role,
                AvailabilityZone.of("zone-a"),
                ip,
                ip,
                isControl ? Optional.empty() : Optional.of(new NodeAddress(ip, firstPort + 4)),
                isControl ? Optional.empty() : Optional.of(new NodeAddress(ip, firstPort + 5)),
                isControl ? Optional.of(controlListen) : Optional.empty(),
                firstPort,
                firstPort + 2,
                List.of(controlListen),
                true,
                isControl ? Optional.of(folder.resolve("log")) : Optional.empty(),
                Map.of(FleetKey.LOSSES_BORNE, 0.0, FleetKey.GRACE_S, 1.0));
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        entries.forEach(EntryNode::stop);
        control.stop();
        endpoints.forEach(CrashableEndpoint::close);
    }
}
