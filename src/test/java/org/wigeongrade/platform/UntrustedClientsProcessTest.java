package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.proof.Await;
import org.wigeongrade.proof.LoopbackPorts;
import org.wigeongrade.proof.ManagedProcess;
import org.wigeongrade.proof.ProcessLimits;

/**
 * Crowds of clients that do not behave made a node run out of memory or descriptors, or kept it from serving an ordinary
 * request. Each case starts the processes with the limits of a small VM and leaves the crowd connected.
 */
@Tag("process")
final class UntrustedClientsProcessTest {
    private static final ProcessLimits LIMITS = new ProcessLimits(40, 32, 300);
    /** Memory of the VM: heap, direct memory, and as much again for code, classes, threads and the collector. */
    private static final long MAX_MEMORY_BYTES = 180L * 1_048_576;
    /** Leaves some of the descriptors for files and for connections to endpoints. */
    private static final int MAX_DESCRIPTORS = 270;

    private static final int START_TIMEOUT_MS = 30_000;
    /** Ends a test whose node hangs. */
    private static final Duration HANG_TIMEOUT = Duration.ofSeconds(30);

    /** Time for the node to read what the crowd has sent and what the system has buffered. */
    private static final int SETTLE_MS = 4_000;

    private static final int OK = 200;
    private static final int ROUTES_FOR_A_LARGE_DOCUMENT = 600;
    private static final String HOST = CrowdBehaviour.HOST;

    @TempDir
    private Path folder;

    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

    /** Where a crowd connects, and the path that it names. */
    private enum Door {
        ROUTE("/app/x"),
        NO_ROUTE("/none/x"),
        READY_PATH_OF_CALLERS("/-/readyz"),
        READINESS("/-/readyz"),
        METRICS("/metrics"),
        CONTROL("/-/configuration/read");

        private final String path;

        Door(String path) {
            this.path = path;
        }

        InetSocketAddress address(FleetProcesses fleet) {
            return switch (this) {
                case ROUTE, NO_ROUTE, READY_PATH_OF_CALLERS -> fleet.entryAddress();
                case READINESS -> fleet.readinessAddress();
                case METRICS -> fleet.metricsAddress();
                case CONTROL -> fleet.controlAddress(0);
            };
        }
    }

    @ParameterizedTest
    @CsvSource({
        "SILENT, ROUTE",
        "SILENT, READINESS",
        "ONE_PIECE, ROUTE",
        "ONE_PIECE, CONTROL",
        "SMALL_PIECES, ROUTE",
        "CHUNKS, ROUTE",
        "CHUNKS, READY_PATH_OF_CALLERS",
        "CHUNKS, CONTROL",
        "FAR_OVER, ROUTE",
        "FAR_OVER_CHUNKED, CONTROL",
        "MANY_FIELDS, ROUTE",
        "MANY_FIELDS, NO_ROUTE",
        "MANY_FIELDS, READINESS",
        "MANY_FIELDS, CONTROL",
        "SENT_AHEAD, NO_ROUTE",
        "SENT_AHEAD, METRICS",
        "SENT_AHEAD, CONTROL",
        "SHORT_SENT_AHEAD, READINESS",
        "SLOW_HEAD, READINESS",
        "SLOW_BODY, ROUTE",
    })
    void crowdEndsNoProcessAndOrdinaryRequestIsAnswered(CrowdBehaviour behaviour, Door door) throws Exception {
        final CrashableEndpoint endpoint =
                new CrashableEndpoint("i-0", LoopbackPorts.allocate(), exchange -> false, exchange -> {}, () -> {});
        try (FleetProcesses fleet = new FleetProcesses(folder, 1, 0, LIMITS)) {
            fleet.publish(configuration());
            final ManagedProcess entry = fleet.startEntry("max_held_bytes = 4194304\n");
            final var unused = scheduler.scheduleAtFixedRate(
                    () -> fleet.firstAcknowledging("/-/instances/i-0/heartbeat", endpoint.heartbeat()),
                    0,
                    300,
                    TimeUnit.MILLISECONDS);
            Await.until("requests are served", START_TIMEOUT_MS, () -> ordinaryRequest(fleet) == OK);
            try (ClientCrowd crowd = new ClientCrowd(door.address(fleet), behaviour, door.path)) {
                crowd.awaitSent();
                Await.sleepMs(SETTLE_MS);
                final int status = door == Door.CONTROL ? ordinaryControlCall(fleet) : ordinaryRequest(fleet);
                fleet.processes().forEach(UntrustedClientsProcessTest::assertWithinLimits);
                assertThat(status).isEqualTo(OK);
                assertThat(entry.isAlive()).isTrue();
            }
        } finally {
            scheduler.shutdownNow();
            endpoint.close();
        }
    }

    private static void assertWithinLimits(ManagedProcess process) {
        assertWithMessage(process.name() + " runs; its output: " + process.output())
                .that(process.isAlive())
                .isTrue();
        assertWithMessage("largest resident memory of " + process.name())
                .that(process.peakMemoryBytes())
                .isAtMost(MAX_MEMORY_BYTES);
        assertWithMessage("open descriptors of " + process.name())
                .that(process.openDescriptors())
                .isAtMost(MAX_DESCRIPTORS);
    }

    private static String configuration() {
        final StringBuilder routes = new StringBuilder(route("app", "/app/"));
        for (int number = 0; number < ROUTES_FOR_A_LARGE_DOCUMENT; number++) {
            routes.append(',').append(route("r" + number, "/r" + number + "/"));
        }
        return """
                {"version":7,"routes":[%s],"services":[{"name":"app","maxConnections":400}],
                "limits":{"maxHeaderBytes":16384,"maxBodyBytes":65536,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""".formatted(routes);
    }

    private static String route(String name, String prefix) {
        return """
                {"name":"%s","hostname":"%s","pathPrefix":"%s","kind":"idempotent","timeoutMs":9000,"maxAttempts":2,
                "service":"app","anonymous":true}""".formatted(name, HOST, prefix);
    }

    private int ordinaryRequest(FleetProcesses fleet) {
        return statusOf(request(fleet.entryAddress(), "/app/ordinary")
                .header("X-Attempt-Id", "ordinary")
                .header("X-Deadline-Ms", "9000")
                .POST(HttpRequest.BodyPublishers.ofString("b".repeat(600)))
                .build());
    }

    private int ordinaryControlCall(FleetProcesses fleet) {
        return statusOf(
                request(fleet.controlAddress(0), "/-/configuration/read").GET().build());
    }

    private static HttpRequest.Builder request(InetSocketAddress address, String path) {
        final String host = address.getAddress().getHostAddress() + ":" + address.getPort();
        return HttpRequest.newBuilder(URI.create("http://" + host + path)).timeout(HANG_TIMEOUT);
    }

    /** Returns the status of the response, or 0 if there was none. */
    private int statusOf(HttpRequest request) {
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 0;
        }
    }
}
