package org.wigeongrade.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends one VM's announcement to the next healthy entry VM every {@value #PERIOD_MS} ms. Safe for use from any thread.
 */
final class Announcer implements AutoCloseable {
    static final long PERIOD_MS = 500;
    private static final Duration TIMEOUT = Duration.ofMillis(450);

    private final EntryBalancer balancer;
    private final HttpClient client;
    private final Supplier<Optional<Announcement>> announcement;
    private final ScheduledFuture<?> periodic;

    /** Starts sending; {@code announcement} supplies the next message and is empty while the VM sends none. */
    Announcer(
            EntryBalancer balancer,
            HttpClient client,
            ScheduledExecutorService timer,
            Supplier<Optional<Announcement>> announcement) {
        this.balancer = balancer;
        this.client = client;
        this.announcement = announcement;
        this.periodic = timer.scheduleAtFixedRate(this::announce, 0, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        announcement.get().ifPresent(message -> send(StandinJson.write(message), 2));
    }

    private void send(String json, int attemptsLeft) {
        Optional<String> entry = balancer.next();
        if (entry.isEmpty() || attemptsLeft == 0) {
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.get() + "/v1/announcements"))
                .timeout(TIMEOUT)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(json))
                .build();
        CompletableFuture<?> unused = client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete((response, failure) -> {
                    if (failure != null && EntryBalancer.isConnectFailure(failure)) {
                        balancer.markUnhealthy(entry.get());
                        send(json, attemptsLeft - 1);
                    }
                });
    }

    @Override
    public void close() {
        periodic.cancel(false);
    }
}
