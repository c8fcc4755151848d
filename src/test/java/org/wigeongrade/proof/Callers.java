package org.wigeongrade.proof;

import java.io.IOException;
import java.net.ConnectException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.wigeongrade.bench.CallResult;
import org.wigeongrade.bench.ModelCall;
import org.wigeongrade.bench.ModelClient;
import org.wigeongrade.bench.Workload;

/**
 * Callers in threads of their own, whose calls all stand in the history.
 *
 * <p>Functions: {@code charge} is a non-idempotent service call with an idempotency key, resent to other entry VMs until
 * its outcome is known; {@code charge_once} is one without a key and is sent once; {@code generate} asks a model. Safe
 * for use from any thread.
 */
final class Callers implements AutoCloseable {
    static final String CHARGE = "charge";
    static final String CHARGE_ONCE = "charge_once";
    static final String GENERATE = "generate";
    private static final int MAX_SENDS = 12;
    private static final long CALL_TIMEOUT_MS = 3_000;
    private static final long GENERATE_TIMEOUT_MS = 15_000;
    private static final long PAUSE_MS = 20;

    private final List<String> entries;
    private final HistoryRecorder recorder;
    private final ModelClient models = new ModelClient(Http.CLIENT);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger operations = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();

    Callers(List<String> entries, HistoryRecorder recorder) {
        this.entries = List.copyOf(entries);
        this.recorder = recorder;
    }

    /** Starts {@code count} callers of the service {@code ledger} that resend. */
    void startCharging(int count) {
        start(count, client -> charge(client, CHARGE + "-" + operations.incrementAndGet()));
    }

    /** Starts {@code count} callers of the service {@code ledger} that send each call once, without a key. */
    void startChargingOnce(int count) {
        start(count, client -> chargeOnce(client, CHARGE_ONCE + "-" + operations.incrementAndGet()));
    }

    /** Starts {@code count} callers of the model. */
    void startGenerating(int count, Workload workload, int tokens) {
        start(count, client -> generate(client, workload, GENERATE + "-" + operations.incrementAndGet(), "", tokens));
    }

    private interface Step {
        void run(int client);
    }

    private void start(int count, Step step) {
        for (int i = 0; i < count; i++) {
            int client = threads.size() + 1;
            Thread thread = new Thread(() -> loop(client, step), "caller-" + client);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void loop(int client, Step step) {
        while (!stopping.get()) {
            step.run(client);
            Await.sleepMs(PAUSE_MS);
        }
    }

    private void charge(int client, String operation) {
        Phase phase = Phase.UNKNOWN;
        for (int send = 0; send < MAX_SENDS && phase != Phase.OK; send++) {
            String entry = entries.get((client + send) % entries.size());
            phase = call(client, CHARGE, operation, entry, Map.of("Idempotency-Key", operation));
            if (phase != Phase.OK) {
                Await.sleepMs(100);
            }
        }
    }

    private void chargeOnce(int client, String operation) {
        Phase unused = call(client, CHARGE_ONCE, operation, entries.get(client % entries.size()), Map.of());
    }

    private Phase call(int client, String function, String operation, String entry, Map<String, String> headers) {
        HistoryRecorder.Call call = recorder.invoke(client, function, operation, entry);
        Map<String, String> all = new java.util.HashMap<>(headers);
        all.put("Authorization", "Bearer " + Operators.KEY);
        all.put("Content-Type", "application/json");
        try {
            String body = "{\"op\":\"" + operation + "\"}";
            return judge(call, Http.send("POST", entry, "/services/ledger/charges", body, all, CALL_TIMEOUT_MS));
        } catch (ConnectException e) {
            call.fail("refused_connection");
            return Phase.FAIL;
        } catch (IOException e) {
            call.unknown("no_answer");
            return Phase.UNKNOWN;
        }
    }

    private static Phase judge(HistoryRecorder.Call call, HttpResponse<String> answer) {
        if (answer.statusCode() == 200) {
            call.ok("");
            return Phase.OK;
        }
        String value = answer.statusCode() + " " + answer.body();
        if (answer.headers().firstValue("X-Wigeongrade-Run").orElse("").equals("not-run")) {
            call.fail(value);
            return Phase.FAIL;
        }
        call.unknown(value);
        return Phase.UNKNOWN;
    }

    /** Asks the model once at one of the entry VMs and returns what came. */
    CallResult generate(int client, Workload workload, String operation, String promptStart, int tokens) {
        String entry = entries.get(Math.floorMod(operation.hashCode(), entries.size()));
        return generateAt(entry, client, workload, operation, promptStart, tokens);
    }

    /** Asks the model once at {@code entry} and returns what came. */
    CallResult generateAt(
            String entry, int client, Workload workload, String operation, String promptStart, int tokens) {
        ModelCall model = ModelCall.of(workload, "guide", promptStart + operation, tokens, operation);
        HistoryRecorder.Call call = recorder.invoke(client, GENERATE, operation, entry);
        CallResult result = models.send(entry, model, Operators.KEY, operation, GENERATE_TIMEOUT_MS, System.nanoTime())
                .join();
        if (result.isOk()) {
            call.ok(result.code());
        } else if (result.saysNotRun() || result.code().equals("refused_connection")) {
            call.fail(result.code());
        } else {
            call.unknown(result.code());
        }
        return result;
    }

    /** Ends the callers after their calls in flight. */
    @Override
    public void close() {
        stopping.set(true);
        for (Thread thread : threads) {
            try {
                thread.join(GENERATE_TIMEOUT_MS + 1_000);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
