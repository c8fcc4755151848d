package org.wigeongrade.platform;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.sun.net.httpserver.HttpExchange;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests endpoints that state in their responses how many requests a second they take from all entry nodes together. */
final class EndpointRateLimitTest {
    private static final int ENDPOINTS = 4;
    /** Endpoints below this number state a limit. */
    private static final int LIMITED = 3;

    private static final long SEND_INTERVAL_MS = 15;
    /** Time after which every entry node keeps to a limit. */
    private static final long TIME_TO_LEARN_MS = 3_000;

    private static final long MEASURED_MS = 5_000;
    private static final long WINDOW_MS = 4_000;
    private static final double BURST_FACTOR = 1.5;
    private static final int MARGIN = 5;
    private static final double SERVED_RATIO = 0.99;

    private record Arrival(int endpoint, long nanos) {}

    @TempDir
    private Path folder;

    private final List<Arrival> arrivals = new CopyOnWriteArrayList<>();
    private final AtomicLong firstStatedNanos = new AtomicLong();
    private final AtomicInteger sent = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private volatile boolean limited;

    /** All entry nodes together keep to the limit, also those that have not heard it from the endpoint themselves. */
    @ParameterizedTest
    @ValueSource(doubles = {1.0, 3.0, 8.0})
    void endpointGetsNoMoreThanTheLimitThatItStates(double requestsPerSecond) throws InterruptedException {
        try (LoopbackFleet fleet =
                new LoopbackFleet(folder, ENDPOINTS, responder(requestsPerSecond), exchange -> false)) {
            limited = true;
            fleet.repeat(() -> send(fleet), SEND_INTERVAL_MS);
            LoopbackFleet.await("a limit stated", () -> firstStatedNanos.get() != 0);
            TimeUnit.MILLISECONDS.sleep(TIME_TO_LEARN_MS + MEASURED_MS);
            final long liftedNanos = System.nanoTime();
            limited = false;
            TimeUnit.MILLISECONDS.sleep(TIME_TO_LEARN_MS + WINDOW_MS);
            fleet.stopRepeating();
            final int allowed = (int) (BURST_FACTOR * requestsPerSecond * WINDOW_MS / 1_000) + MARGIN;
            final long fromNanos = firstStatedNanos.get() + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS);

            for (int endpoint = 0; endpoint < LIMITED; endpoint++) {
                assertWithMessage("most requests in 4 s at endpoint %s", endpoint)
                        .that(mostInWindow(endpoint, fromNanos, liftedNanos))
                        .isAtMost(allowed);
                assertWithMessage("requests at endpoint %s after it stated no limit any more", endpoint)
                        .that(countSince(endpoint, liftedNanos + TimeUnit.MILLISECONDS.toNanos(TIME_TO_LEARN_MS)))
                        .isGreaterThan((int) (requestsPerSecond * WINDOW_MS / 1_000) + MARGIN);
            }
            assertThat((double) served.get()).isAtLeast(SERVED_RATIO * sent.get());
        }
    }

    private LoopbackFleet.EndpointResponder responder(double requestsPerSecond) {
        return (int endpoint, HttpExchange exchange) -> {
            arrivals.add(new Arrival(endpoint, System.nanoTime()));
            if (limited && endpoint < LIMITED) {
                exchange.getResponseHeaders().set("Server-Limit", Double.toString(requestsPerSecond));
                firstStatedNanos.compareAndSet(0, System.nanoTime());
            }
        };
    }

    private void send(LoopbackFleet fleet) {
        final long nowNanos = System.nanoTime();
        final int entry = (int) (nowNanos / 1_000 % LoopbackFleet.ENTRIES);
        sent.incrementAndGet();
        final var unused = fleet.send(entry, "5a5a:40,%x:300".formatted(nowNanos))
                .thenAccept(status -> {
                    if (status == 200) {
                        served.incrementAndGet();
                    }
                });
    }

    private int mostInWindow(int endpoint, long fromNanos, long toNanos) {
        final List<Long> nanos = arrivals.stream()
                .filter(arrival -> arrival.endpoint() == endpoint)
                .map(Arrival::nanos)
                .filter(time -> time - fromNanos >= 0 && time - toNanos < 0)
                .sorted()
                .toList();
        final long windowNanos = TimeUnit.MILLISECONDS.toNanos(WINDOW_MS);
        return (int) nanos.stream()
                .mapToLong(start -> nanos.stream()
                        .filter(time -> time - start >= 0 && time - start <= windowNanos)
                        .count())
                .max()
                .orElse(0);
    }

    private long countSince(int endpoint, long sinceNanos) {
        return arrivals.stream()
                .filter(arrival -> arrival.endpoint() == endpoint && arrival.nanos() - sinceNanos > 0)
                .count();
    }
}
