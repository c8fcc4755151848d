package org.wigeongrade.proof;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeongrade.standin.AnswerText;
import org.wigeongrade.standin.StandinJson;

/**
 * Operators in threads of their own: each reads the revision at an entry VM, applies a set on it and resends the change
 * under its id when the answer is lost; one more thread reads the configuration everywhere. Safe for use from any thread.
 */
final class RacingOperators implements AutoCloseable {
    private static final int MAX_SENDS = 15;
    private static final long PAUSE_MS = 50;

    private final List<String> entries;
    private final HistoryRecorder recorder;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger changes = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();

    RacingOperators(List<String> entries, HistoryRecorder recorder) {
        this.entries = List.copyOf(entries);
        this.recorder = recorder;
    }

    /** Starts {@code count} operators and one reader. */
    void start(int count) {
        for (int i = 0; i < count; i++) {
            int client = i;
            start("operator-" + i, () -> change(client));
        }
        start("reader", this::readAll);
    }

    private void start(String name, Runnable step) {
        Thread thread = new Thread(() -> loop(step), name);
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private void loop(Runnable step) {
        while (!stopping.get()) {
            step.run();
            Await.sleepMs(PAUSE_MS);
        }
    }

    private void change(int client) {
        Optional<JsonNode> base = configuration(entries.get(client % entries.size()));
        if (base.isEmpty()) {
            return;
        }
        long revision = base.get().path("revision").asLong();
        int number = changes.incrementAndGet();
        Phase phase = Phase.UNKNOWN;
        for (int send = 0; send < MAX_SENDS && phase == Phase.UNKNOWN; send++) {
            phase = apply(client, entries.get((client + send) % entries.size()), number, revision);
        }
    }

    private Phase apply(int client, String entry, int number, long base) {
        String change = "race-" + number;
        String path = "/v1/operator/apply?change_id=" + change + "&base_revision=" + base + "&operator=op-" + client;
        HistoryRecorder.Call call = recorder.invoke(client, ConfigurationRegister.APPLY, change, entry);
        Optional<HttpResponse<String>> answer = Http.trySend("POST", entry, path, Operators.basics() + extra(number));
        int status = answer.map(HttpResponse::statusCode).orElse(0);
        if (status == 200) {
            call.ok(Operators.revision(answer.get().body()) + "@" + base);
            return Phase.OK;
        }
        if (status == 409 || status == 422) {
            call.fail(answer.get().body());
            return Phase.FAIL;
        }
        call.unknown(answer.map(HttpResponse::body).orElse("no answer"));
        Await.sleepMs(100);
        return Phase.UNKNOWN;
    }

    private static String extra(int number) {
        return """
                [[organisation]]
                name = "racer"
                key_sha256 = ["%s"]
                requests_per_second = %d
                """.formatted(Operators.sha256("racer"), number);
    }

    private void readAll() {
        for (String entry : entries) {
            readOnce(entry);
        }
    }

    /**
     * Reads the configuration at {@code entry}. The read counts only if the entry VM passes its health check before and
     * after it: without a valid view lease it serves nobody and its view is in force for nobody.
     */
    void readOnce(String entry) {
        HistoryRecorder.Call call = recorder.invoke(99, ConfigurationRegister.READ, entry, entry);
        boolean healthy = Http.isHealthy(entry);
        Optional<JsonNode> read = configuration(entry);
        if (healthy && read.isPresent() && Http.isHealthy(entry)) {
            long revision = read.get().path("revision").asLong();
            call.ok(revision + ":" + AnswerText.digest(read.get().toString()));
        } else {
            call.fail("no valid view");
        }
    }

    private static Optional<JsonNode> configuration(String entry) {
        return Http.trySend("GET", entry, "/v1/operator/configuration", "")
                .filter(answer -> answer.statusCode() == 200)
                .map(RacingOperators::parse);
    }

    private static JsonNode parse(HttpResponse<String> answer) {
        try {
            return StandinJson.MAPPER.readTree(answer.body());
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
