package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.proof.FaultInjectionProxy;

/** Tests entry nodes that lose their links to all endpoints, while callers and the other nodes still reach them. */
final class CutEntryNodeTest {
    /** Entry node 2 is never cut. */
    private static final List<String> ENTRY_ZONES = List.of("zone-a", "zone-a", "zone-b");

    private static final int ENDPOINTS = 6;
    private static final long SEND_INTERVAL_MS = 20;
    /** Time after which a cut node has to serve its callers, and after which it uses its own links again. */
    private static final long TIME_TO_LEARN_MS = 3_000;

    private static final long MEASURED_MS = 3_000;
    private static final long SILENCE_MS = 1_000;
    private static final double MIN_RATIO_TO_OTHERS = 2.0 / 3;
    /** Callers of the other nodes are no worse off than without a cut. */
    private static final double MIN_SERVED_ELSEWHERE = 0.98;

    private static final List<Integer> NOT_RUN_STATUSES = List.of(408, 421, 429, 503);

    private record Sent(int entry, String path, String attempt, long sentNanos, int status) {}

    @TempDir
    private Path folder;

    private final AtomicInteger requests = new AtomicInteger();
    private final List<Sent> answered = new CopyOnWriteArrayList<>();
    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** A node that reaches no endpoint has its requests served through another node, however its links fail. */
    @ParameterizedTest
    @CsvSource({"PARTITION, 1", "PARTITION, 2", "RESET_AND_REFUSE, 1", "RESET_AND_REFUSE, 2", "REFUSE_NEW, 1"})
    void callersOfEntryNodesThatReachNoEndpointAreServed(FaultInjectionProxy.Mode cut, int cutEntries)
            throws InterruptedException {
        final long cutNanos;
        final long healedNanos;
        try (LoopbackFleet fleet = LoopbackFleet.withProxies(folder, ENTRY_ZONES, ENDPOINTS, this::recordRun)) {
            fleet.repeat(() -> send(fleet), SEND_INTERVAL_MS);
            TimeUnit.MILLISECONDS.sleep(MEASURED_MS);
            cutNanos = System.nanoTime();
            for (int entry = 0; entry < cutEntries; entry++) {
                fleet.setEndpointLinks(entry, cut);
            }
            TimeUnit.MILLISECONDS.sleep(TIME_TO_LEARN_MS + MEASURED_MS);
            for (int entry = 0; entry < cutEntries; entry++) {
                fleet.setEndpointLinks(entry, FaultInjectionProxy.Mode.FORWARD);
            }
            healedNanos = System.nanoTime();
            TimeUnit.MILLISECONDS.sleep(TIME_TO_LEARN_MS + MEASURED_MS);
            fleet.stopRepeating();
        }

        final long learntNanos = cutNanos + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);
        final int uncut = ENTRY_ZONES.size() - 1;
        assertWithMessage("served at the other node during the cut")
                .that(servedRatio(uncut, cutNanos, healedNanos))
                .isAtLeast(MIN_SERVED_ELSEWHERE);
        for (int entry = 0; entry < cutEntries; entry++) {
            for (final String path : List.of(LoopbackFleet.IDEMPOTENT_PATH, LoopbackFleet.NON_IDEMPOTENT_PATH)) {
                assertWithMessage("served of %s at cut node %s", path, entry)
                        .that(servedRatio(entry, path, learntNanos, healedNanos))
                        .isAtLeast(MIN_RATIO_TO_OTHERS * servedRatio(uncut, path, learntNanos, healedNanos));
            }
            assertWithMessage("served at node %s after the cut", entry)
                    .that(servedRatio(
                            entry, healedNanos + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS), Long.MAX_VALUE))
                    .isAtLeast(MIN_SERVED_ELSEWHERE);
        }
        assertNoFalseRefusalsAndNoSecondRuns();
    }

    /** An endpoint that sends nothing for a second and then goes on is no reason to give up a request. */
    @Test
    void endpointThatIsSilentForASecondLosesNoRequest() throws InterruptedException {
        try (LoopbackFleet fleet = LoopbackFleet.withProxies(folder, ENTRY_ZONES, ENDPOINTS, this::recordRun)) {
            fleet.repeat(() -> send(fleet), SEND_INTERVAL_MS);
            for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                TimeUnit.MILLISECONDS.sleep(SILENCE_MS / 2);
                fleet.setLinksOfEndpoint(endpoint, FaultInjectionProxy.Mode.PARTITION);
                TimeUnit.MILLISECONDS.sleep(SILENCE_MS);
                fleet.setLinksOfEndpoint(endpoint, FaultInjectionProxy.Mode.FORWARD);
            }
            fleet.stopRepeating();
            LoopbackFleet.await("every request answered", () -> answered.size() == requests.get());
        }

        assertThat(answered.stream().filter(request -> request.status() != 200).toList())
                .isEmpty();
        assertNoFalseRefusalsAndNoSecondRuns();
    }

    private void assertNoFalseRefusalsAndNoSecondRuns() {
        final List<Sent> falselyRefused = answered.stream()
                .filter(request -> NOT_RUN_STATUSES.contains(request.status()) && runs.containsKey(request.attempt()))
                .toList();
        assertWithMessage("refused as not run, but run").that(falselyRefused).isEmpty();
        final List<Sent> runTwice = answered.stream()
                .filter(request -> request.path().equals(LoopbackFleet.NON_IDEMPOTENT_PATH))
                .filter(request -> runs.getOrDefault(request.attempt(), new AtomicInteger())
                                .get()
                        > 1)
                .toList();
        assertWithMessage("not idempotent, but run twice").that(runTwice).isEmpty();
    }

    private void recordRun(int endpoint, HttpExchange exchange) {
        runs.computeIfAbsent(exchange.getRequestHeaders().getFirst("X-Attempt-Id"), attempt -> new AtomicInteger())
                .incrementAndGet();
    }

    private void send(LoopbackFleet fleet) {
        final int number = requests.getAndIncrement();
        final int entry = number % ENTRY_ZONES.size();
        final String path = number / ENTRY_ZONES.size() % 2 == 0
                ? LoopbackFleet.IDEMPOTENT_PATH
                : LoopbackFleet.NON_IDEMPOTENT_PATH;
        final String attempt = "cut-" + number;
        final long sentNanos = System.nanoTime();
        final var unused = fleet.send(entry, path, attempt, "5a5a:40,%x:300".formatted(number))
                .thenAccept(status -> answered.add(new Sent(entry, path, attempt, sentNanos, status)));
    }

    private double servedRatio(int entry, long fromNanos, long toNanos) {
        return servedRatio(entry, "", fromNanos, toNanos);
    }

    private double servedRatio(int entry, String pathPrefix, long fromNanos, long toNanos) {
        final List<Sent> sent = answered.stream()
                .filter(request -> request.entry() == entry && request.path().startsWith(pathPrefix))
                .filter(request -> request.sentNanos() >= fromNanos && request.sentNanos() < toNanos)
                .toList();
        assertThat(sent).isNotEmpty();
        return (double) sent.stream().filter(request -> request.status() == 200).count() / sent.size();
    }
}
