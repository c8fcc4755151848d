package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
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
 * Tests requests that share a part of their prompt that crashes endpoints, sent through two entry nodes among requests
 * of the same caller that share the other parts.
 */
final class CrashingPromptPartTest {
    private static final String CONTROL_IP = "127.0.0.1";
    private static final List<String> ENTRY_IPS = List.of("127.0.0.2", "127.0.0.3");
    private static final String CRASHING_PART = "bad0";
    private static final int ENDPOINTS = 12;
    private static final int TOPICS = 4;
    private static final long AWAIT_TIMEOUT_MS = 20_000;
    private static final long HEARTBEAT_MS = 150;
    private static final long SOUND_INTERVAL_MS = 20;
    private static final long CRASHING_INTERVAL_MS = 150;
    /** Crashes after which the fleet has to know what they have in common, and the time that it has for that. */
    private static final int CRASHES_TO_LEARN_FROM = 5;

    private static final long TIME_TO_LEARN_MS = 3_000;
    private static final int MAX_SENDS_AFTERWARDS = 3;
    private static final long MEASURED_MS = 4_000;

    private record Sent(long sentNanos, boolean crashing, int status) {}

    @TempDir
    private Path folder;

    private final HttpClient client = HttpClient.newHttpClient();
    private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(4);
    private final List<CrashableEndpoint> endpoints = new ArrayList<>();
    private final List<EntryNode> entries = new ArrayList<>();
    private final List<Long> crashesNanos = new CopyOnWriteArrayList<>();
    private final List<Long> crashingArrivalsNanos = new CopyOnWriteArrayList<>();
    private final List<Sent> sent = new CopyOnWriteArrayList<>();
    private int firstPort;
    private ControlNode control;

    @BeforeEach
    void start() {
        firstPort = LoopbackPorts.allocateRange(6 + ENDPOINTS);
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
        IntStream.range(0, ENDPOINTS)
                .forEach(number -> endpoints.add(new CrashableEndpoint(
                        "i-" + number,
                        firstPort + 6 + number,
                        exchange -> isCrashing(exchange.getRequestHeaders().getFirst("X-Prompt-Prefix")),
                        exchange -> {
                            if (isCrashing(exchange.getRequestHeaders().getFirst("X-Prompt-Prefix"))) {
                                crashingArrivalsNanos.add(System.nanoTime());
                            }
                        },
                        () -> crashesNanos.add(System.nanoTime()))));
        scheduleAtFixedRate(this::sendHeartbeats, HEARTBEAT_MS);
    }

    @AfterEach
    void stop() {
        scheduler.shutdownNow();
        entries.forEach(EntryNode::stop);
        control.stop();
        endpoints.forEach(CrashableEndpoint::close);
    }

    /** Requests are counted by what they share, since no two of those that crash endpoints are alike. */
    @ParameterizedTest
    @ValueSource(strings = {"bad0:90", "topic:200,bad0:90", "bad0:90,topic:200"})
    void promptPartThatCrashedFiveEndpointsIsNoLongerSentWhileOthersAreServed(String crashingParts)
            throws InterruptedException {
        await(
                "sound requests served by both entry nodes",
                () -> IntStream.range(0, ENTRY_IPS.size())
                        .allMatch(number -> call(number, soundPrefix(number)).statusCode() == 200));
        scheduleAtFixedRate(() -> send(false, soundPrefix(sent.size())), SOUND_INTERVAL_MS);
        TimeUnit.MILLISECONDS.sleep(TIME_TO_LEARN_MS / 2);
        scheduleAtFixedRate(() -> send(true, crashingPrefix(crashingParts)), CRASHING_INTERVAL_MS);
        await("five crashes", () -> crashesNanos.size() >= CRASHES_TO_LEARN_FROM);
        TimeUnit.MILLISECONDS.sleep(2 * TIME_TO_LEARN_MS + MEASURED_MS);
        scheduler.shutdown();
        assertThat(scheduler.awaitTermination(AWAIT_TIMEOUT_MS, TimeUnit.MILLISECONDS))
                .isTrue();

        final long learntNanos =
                sorted(crashesNanos).get(CRASHES_TO_LEARN_FROM - 1) + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);
        final long sentLater = crashingArrivalsNanos.stream()
                .filter(nanos -> nanos - learntNanos > 0)
                .count();
        final long measuredNanos = learntNanos + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);
        final List<Sent> sound = sent.stream()
                .filter(request -> !request.crashing() && request.sentNanos() - measuredNanos > 0)
                .toList();
        final long served =
                sound.stream().filter(request -> request.status() == 200).count();
        assertWithMessage("requests with the part sent later; %s endpoints crashed in all", crashesNanos.size())
                .that(sentLater)
                .isAtMost(MAX_SENDS_AFTERWARDS);
        assertThat(sound).isNotEmpty();
        assertWithMessage("sound requests served of %s", sound.size())
                .that(2 * served)
                .isAtLeast(sound.size());
    }

    private static boolean isCrashing(String prefix) {
        return prefix.contains(CRASHING_PART + ":");
    }

    private static String soundPrefix(int number) {
        return "5a5a:40,%x:200,%x:300".formatted(0xa0 + number % TOPICS, System.nanoTime());
    }

    private static String crashingPrefix(String parts) {
        return "5a5a:40,%s,%x:300".formatted(parts.replace("topic", "a0"), System.nanoTime());
    }

    private void send(boolean crashing, String prefix) {
        final long sentNanos = System.nanoTime();
        final var unused = client.sendAsync(
                        request((int) (sentNanos / 1_000 % ENTRY_IPS.size()), prefix),
                        HttpResponse.BodyHandlers.ofString())
                .handle((response, failure) ->
                        sent.add(new Sent(sentNanos, crashing, response == null ? 0 : response.statusCode())));
    }

    private HttpResponse<String> call(int entry, String prefix) {
        return client.sendAsync(request(entry, prefix), HttpResponse.BodyHandlers.ofString())
                .join();
    }

    private HttpRequest request(int entry, String prefix) {
        return HttpRequest.newBuilder(URI.create(
                        "http://" + ENTRY_IPS.get(entry) + ":" + (firstPort + 4) + "/app/" + System.nanoTime()))
                .header("X-Attempt-Id", "attempt-" + System.nanoTime())
                .header("X-Credential", "key-1")
                .header("X-Deadline-Ms", "4000")
                .header("X-Prompt-Prefix", prefix)
                .build();
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
        return client.sendAsync(
                        HttpRequest.newBuilder(URI.create("http://" + CONTROL_IP + ":" + (firstPort + 3) + path))
                                .POST(HttpRequest.BodyPublishers.ofString(body))
                                .build(),
                        HttpResponse.BodyHandlers.ofString())
                .join()
                .statusCode();
    }

    private void scheduleAtFixedRate(Runnable action, long intervalMs) {
        final var unused = scheduler.scheduleAtFixedRate(action, 0, intervalMs, TimeUnit.MILLISECONDS);
    }

    private static List<Long> sorted(List<Long> nanos) {
        return nanos.stream().sorted(Comparator.naturalOrder()).toList();
    }

    private static void await(String expectation, BooleanSupplier condition) {
        final long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_TIMEOUT_MS);
        while (!condition.getAsBoolean()) {
            assertWithMessage("%s within %s ms", expectation, AWAIT_TIMEOUT_MS)
                    .that(System.nanoTime() - deadlineNanos)
                    .isLessThan(0);
            com.google.common.util.concurrent.Uninterruptibles.sleepUninterruptibly(50, TimeUnit.MILLISECONDS);
        }
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
}
