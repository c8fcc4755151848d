package org.wigeongrade.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.wigeongrade.standin.EntryBalancer;
import org.wigeongrade.standin.StandinJson;

/** Sends calls as a caller does and checks each response against the expected text. Safe for use from any thread. */
public final class ModelClient {
    private final HttpClient client;

    public ModelClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Sends {@code call} to {@code target}, given as {@code ip:port}. The returned future never fails; times are
     * measured from {@code startNanos}.
     */
    public CompletableFuture<CallResult> send(
            String target, ModelCall call, String key, String requestId, long timeoutMs, long startNanos) {
        ResponseCollector collector = new ResponseCollector(startNanos);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + call.path()))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + key)
                .header("X-Request-Id", requestId)
                .POST(HttpRequest.BodyPublishers.ofString(call.body()))
                .build();
        CompletableFuture<CallResult> result = client.sendAsync(request, info -> collector.bodySubscriber(info))
                .handle((response, failure) -> failure == null
                        ? toResult(call, response, collector, startNanos)
                        : failedResult(failure, collector, startNanos));
        return result.completeOnTimeout(
                        timedOutResult(timeoutMs), timeoutMs + 200, java.util.concurrent.TimeUnit.MILLISECONDS)
                .exceptionally(failure -> failedResult(failure, collector, startNanos));
    }

    private static CallResult timedOutResult(long timeoutMs) {
        long latencyNanos = Duration.ofMillis(timeoutMs).toNanos();
        return new CallResult(0, "no_answer", "none", latencyNanos, -1, List.of(), 0, "");
    }

    private static CallResult failedResult(Throwable failure, ResponseCollector collector, long startNanos) {
        String code = EntryBalancer.isConnectFailure(failure) ? "refused_connection" : "no_answer";
        return collector.toResult(0, code, "none", 0, System.nanoTime() - startNanos);
    }

    private static CallResult toResult(
            ModelCall call, HttpResponse<Void> response, ResponseCollector collector, long startNanos) {
        long latencyNanos = System.nanoTime() - startNanos;
        String runStatus = response.headers().firstValue("X-Wigeongrade-Run").orElse("none");
        long retryAfterMs = retryAfterMs(collector);
        int status = response.statusCode();
        if (status != 200) {
            return collector.toResult(
                    status, errorCode(collector.body(), status), runStatus, retryAfterMs, latencyNanos);
        }
        return collector.toResult(status, collector.resultCode(call), runStatus, retryAfterMs, latencyNanos);
    }

    private static long retryAfterMs(ResponseCollector collector) {
        return parseJson(collector.body()).path("error").path("retry_after_ms").asLong(0);
    }

    private static String errorCode(String body, int status) {
        JsonNode error = parseJson(body).path("error");
        return error.isTextual() ? error.asText() : error.path("code").asText("http_" + status);
    }

    /** Returns the parsed object, or an empty object if the text is not a JSON object. */
    static JsonNode parseJson(String text) {
        if (!text.startsWith("{")) {
            return StandinJson.MAPPER.createObjectNode();
        }
        try {
            return StandinJson.MAPPER.readTree(text);
        } catch (IOException e) {
            return StandinJson.MAPPER.createObjectNode();
        }
    }
}
