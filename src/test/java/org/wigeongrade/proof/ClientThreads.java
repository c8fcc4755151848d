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
 * Clients that each send requests in a thread of their own and record every call in the history.
 *
 * <p>Functions: {@code charge} is a non-idempotent service call with an idempotency key, retried at other entry VMs
 * until it succeeds; {@code charge_once} is such a call without a key and is sent once; {@code generate} sends a
 * request to a model. Safe for use from any thread.
 */
final class ClientThreads implements AutoCloseable {
    static final String CHARGE = "charge";
    static final String CHARGE_ONCE = "charge_once";
    static final String GENERATE = "generate";
    private static final int MAX_ATTEMPTS = 12;
    private static final long CALL_TIMEOUT_MS = 3_000;
    private static final long GENERATE_TIMEOUT_MS = 15_000;
    private static final long PAUSE_MS = 20;

    private final List<String> entries;
    private final HistoryRecorder recorder;
    private final ModelClient modelClient = new ModelClient(Http.CLIENT);
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final AtomicInteger operationCount = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();

    ClientThreads(List<String> entries, HistoryRecorder recorder) {
        this.entries = List.copyOf(entries);
        this.recorder = recorder;
    }

    /** Starts {@code count} clients of the service {@code ledger} that retry. */
    void startChargeClients(int count) {
        start(count, client -> charge(client, CHARGE + "-" + operationCount.incrementAndGet()));
    }

    /** Starts {@code count} clients of the service {@code ledger} that send each call once, without a key. */
    void startChargeOnceClients(int count) {
        start(count, client -> chargeOnce(client, CHARGE_ONCE + "-" + operationCount.incrementAndGet()));
    }

    /** Starts {@code count} clients of the model. */
    void startGenerateClients(int count, Workload workload, int tokens) {
        start(
                count,
                client -> generate(client, workload, GENERATE + "-" + operationCount.incrementAndGet(), "", tokens));
    }

    private interface Operation {
        void run(int client);
    }

    private void start(int count, Operation operation) {
        for (int i = 0; i < count; i++) {
            int client = threads.size() + 1;
            Thread thread = new Thread(() -> runUntilClosed(client, operation), "client-" + client);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void runUntilClosed(int client, Operation operation) {
        while (!stopping.get()) {
            operation.run(client);
            Await.sleepMs(PAUSE_MS);
        }
    }

    private void charge(int client, String operation) {
        Phase phase = Phase.UNKNOWN;
        for (int attempt = 0; attempt < MAX_ATTEMPTS && phase != Phase.OK; attempt++) {
            String entry = entries.get((client + attempt) % entries.size());
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
        Map<String, String> allHeaders = new java.util.HashMap<>(headers);
        allHeaders.put("Authorization", "Bearer " + DeclaredSetToml.API_KEY);
        allHeaders.put("Content-Type", "application/json");
        try {
            String body = "{\"op\":\"" + operation + "\"}";
            return recordOutcome(
                    call, Http.send("POST", entry, "/services/ledger/charges", body, allHeaders, CALL_TIMEOUT_MS));
        } catch (ConnectException e) {
            call.fail("refused_connection");
            return Phase.FAIL;
        } catch (IOException e) {
            call.unknown("no_answer");
            return Phase.UNKNOWN;
        }
    }

    private static Phase recordOutcome(HistoryRecorder.Call call, HttpResponse<String> response) {
        if (response.statusCode() == 200) {
            call.ok("");
            return Phase.OK;
        }
        String statusAndBody = response.statusCode() + " " + response.body();
        if (response.headers().firstValue("X-Wigeongrade-Run").orElse("").equals("not-run")) {
            call.fail(statusAndBody);
            return Phase.FAIL;
        }
        call.unknown(statusAndBody);
        return Phase.UNKNOWN;
    }

    /** Sends one request to the model through one of the entry VMs and returns its result. */
    CallResult generate(int client, Workload workload, String operation, String promptPrefix, int tokens) {
        String entry = entries.get(Math.floorMod(operation.hashCode(), entries.size()));
        return generateAt(entry, client, workload, operation, promptPrefix, tokens);
    }

    /** Sends one request to the model through {@code entry} and returns its result. */
    CallResult generateAt(
            String entry, int client, Workload workload, String operation, String promptPrefix, int tokens) {
        ModelCall modelCall = ModelCall.of(workload, "guide", promptPrefix + operation, tokens, operation);
        HistoryRecorder.Call call = recorder.invoke(client, GENERATE, operation, entry);
        CallResult result = modelClient
                .send(entry, modelCall, DeclaredSetToml.API_KEY, operation, GENERATE_TIMEOUT_MS, System.nanoTime())
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

    /** Stops the clients after their calls in flight have ended. */
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
