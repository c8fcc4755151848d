package org.wigeongrade.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeongrade.standin.ResponseText;
import org.wigeongrade.standin.StandinJson;

/**
 * Operators that change the configuration concurrently, each in a thread of its own. An operator reads the revision at
 * an entry VM, applies a set on it and resends the change under the same id when the outcome is unknown. One more
 * thread reads the configuration at all entry VMs. Safe for use from any thread.
 */
final class ConcurrentOperators implements AutoCloseable {
    private static final int MAX_ATTEMPTS = 15;
    private static final long PAUSE_MS = 50;

    private final List<String> entries;
    private final HistoryRecorder recorder;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger changeCount = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();

    ConcurrentOperators(List<String> entries, HistoryRecorder recorder) {
        this.entries = List.copyOf(entries);
        this.recorder = recorder;
    }

    /** Starts {@code count} operators and one reader. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            int client = i;
            start("operator-" + i, () -> makeChange(client));
        }
        start("reader", this::readAllEntries);
    }

    private void start(String name, Runnable action) {
        Thread thread = new Thread(() -> runUntilClosed(action), name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void runUntilClosed(Runnable action) {
        while (!stopping.get()) {
            action.run();
            Await.sleepMs(PAUSE_MS);
        }
    }

    private void makeChange(int client) {
        Optional<JsonNode> configuration = fetchConfiguration(entries.get(client % entries.size()));
        if (configuration.isEmpty()) {
            return;
        }
        long baseRevision = configuration.get().path("revision").asLong();
        int changeNumber = changeCount.incrementAndGet();
        Phase phase = Phase.UNKNOWN;
        for (int attempt = 0; attempt < MAX_ATTEMPTS && phase == Phase.UNKNOWN; attempt++) {
            phase = apply(client, entries.get((client + attempt) % entries.size()), changeNumber, baseRevision);
        }
    }

    private Phase apply(int client, String entry, int changeNumber, long baseRevision) {
        String changeId = "race-" + changeNumber;
        String path = "/v1/operator/apply?change_id=" + changeId + "&base_revision=" + baseRevision + "&operator=op-"
                + client;
        HistoryRecorder.Call call = recorder.invoke(client, ConfigurationChecker.APPLY, changeId, entry);
        Optional<HttpResponse<String>> response =
                Http.trySend("POST", entry, path, DeclaredSetToml.base() + changedOrganisation(changeNumber));
        int status = response.map(HttpResponse::statusCode).orElse(0);
        if (status == 200) {
            call.ok(DeclaredSetToml.parseRevision(response.get().body()) + "@" + baseRevision);
            return Phase.OK;
        }
        if (status == 409 || status == 422) {
            call.fail(response.get().body());
            return Phase.FAIL;
        }
        call.unknown(response.map(HttpResponse::body).orElse("no response"));
        Await.sleepMs(100);
        return Phase.UNKNOWN;
    }

    private static String changedOrganisation(int changeNumber) {
        return """
                [[organisation]]
                name = "racer"
                key_sha256 = ["%s"]
                requests_per_second = %d
                """.formatted(DeclaredSetToml.sha256("racer"), changeNumber);
    }

    private void readAllEntries() {
        for (String entry : entries) {
            readOnce(entry);
        }
    }

    /**
     * Reads the configuration at {@code entry}. The read counts only if the entry VM passes its health check before and
     * after it: without a valid view lease the VM serves no requests, so its view is not in force for any caller.
     */
    void readOnce(String entry) {
        HistoryRecorder.Call call = recorder.invoke(99, ConfigurationChecker.READ, entry, entry);
        boolean healthy = Http.isHealthy(entry);
        Optional<JsonNode> read = fetchConfiguration(entry);
        if (healthy && read.isPresent() && Http.isHealthy(entry)) {
            long revision = read.get().path("revision").asLong();
            call.ok(revision + ":" + ResponseText.digest(read.get().toString()));
        } else {
            call.fail("no valid view");
        }
    }

    private static Optional<JsonNode> fetchConfiguration(String entry) {
        return Http.trySend("GET", entry, "/v1/operator/configuration", "")
                .filter(response -> response.statusCode() == 200)
                .map(ConcurrentOperators::parse);
    }

    private static JsonNode parse(HttpResponse<String> response) {
        try {
            return StandinJson.MAPPER.readTree(response.body());
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        stopping.set(true);
        for (Thread thread : threads) {
            try {
                thread.join(20_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
