package org.wigeongrade.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates the platform's load balancer: round robin over the entry VMs that pass their health check.
 *
 * <p>Invariant: an entry VM whose latest health check failed is never returned. Safe for use from any thread.
 */
public final class EntryBalancer implements AutoCloseable {
    private static final long CHECK_PERIOD_MS = 500;
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(400);

    private final List<String> entries;
    private final Set<String> unhealthy = ConcurrentHashMap.newKeySet();
    private final AtomicInteger next = new AtomicInteger();
    private final HttpClient client;
    private final ScheduledExecutorService checker =
            Executors.newScheduledThreadPool(1, Threads.daemon("health-check"));

    /** Starts health checks of {@code entries}, each {@code ip:port}, with {@code client}. */
    public EntryBalancer(List<String> entries, HttpClient client) {
        this.entries = List.copyOf(entries);
        this.client = client;
        unhealthy.addAll(entries);
        for (String entry : entries) {
            ScheduledFuture<?> unused =
                    checker.scheduleWithFixedDelay(() -> check(entry), 0, CHECK_PERIOD_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Returns the next healthy entry VM; empty if there is none. */
    public Optional<String> next() {
        for (int i = 0; i < entries.size(); i++) {
            String entry = entries.get(Math.floorMod(next.getAndIncrement(), entries.size()));
            if (!unhealthy.contains(entry)) {
                return Optional.of(entry);
            }
        }
        return Optional.empty();
    }

    /** Excludes an entry VM that refused a connection until its next health check passes. */
    public void markUnhealthy(String entry) {
        unhealthy.add(entry);
    }

    private void check(String entry) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry + "/health"))
                .timeout(CHECK_TIMEOUT)
                .build();
        CompletableFuture<?> unused = client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .whenComplete(
                        (response, failure) -> recordCheck(entry, failure == null && response.statusCode() == 200));
    }

    private void recordCheck(String entry, boolean healthy) {
        if (healthy) {
            unhealthy.remove(entry);
        } else {
            unhealthy.add(entry);
        }
    }

    /** Returns whether {@code failure} means that no connection could be opened. */
    public static boolean isConnectFailure(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof java.net.ConnectException) {
                return true;
            }
            cause = cause.getCause() instanceof IOException || cause instanceof java.util.concurrent.CompletionException
                    ? cause.getCause()
                    : null;
        }
        return false;
    }

    @Override
    public void close() {
        checker.shutdownNow();
    }
}
