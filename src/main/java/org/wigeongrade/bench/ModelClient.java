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

/** Sends calls as a caller does and checks each answer against the one that is due. Safe for use from any thread. */
public final class ModelClient {
    private final HttpClient client;

    public ModelClient(HttpClient client) {
        this.client = client;
    }

    /**
     * Sends {@code call} to {@code target}, {@code ip:port}. The future never fails; times count from
     * {@code startNanos}.
     */
    public CompletableFuture<CallResult> send(
            String target, ModelCall call, String key, String requestId, long timeoutMs, long startNanos) {
        AnswerCollector collector = new AnswerCollector(startNanos);
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + call.path()))
                .timeout(Duration.ofMillis(timeoutMs))
                .header("Content-Type", "application/json")
                .header("Authorization", "Bearer " + key)
                .header("X-Request-Id", requestId)
                .POST(HttpRequest.BodyPublishers.ofString(call.body()))
                .build();
        CompletableFuture<CallResult> result = client.sendAsync(request, info -> collector.handle(info))
                .handle((answer, failure) -> failure == null
                        ? judge(call, answer, collector, startNanos)
                        : failed(failure, collector, startNanos));
        return result.completeOnTimeout(
                        noAnswer(timeoutMs), timeoutMs + 200, java.util.concurrent.TimeUnit.MILLISECONDS)
                .exceptionally(failure -> failed(failure, collector, startNanos));
    }

    private static CallResult noAnswer(long timeoutMs) {
        long latencyNanos = Duration.ofMillis(timeoutMs).toNanos();
        return new CallResult(0, "no_answer", "none", latencyNanos, -1, List.of(), 0, "");
    }

    private static CallResult failed(Throwable failure, AnswerCollector collector, long startNanos) {
        String code = EntryBalancer.isRefused(failure) ? "refused_connection" : "no_answer";
        return collector.result(0, code, "none", 0, System.nanoTime() - startNanos);
    }

    private static CallResult judge(
            ModelCall call, HttpResponse<Void> answer, AnswerCollector collector, long startNanos) {
        long latencyNanos = System.nanoTime() - startNanos;
        String claim = answer.headers().firstValue("X-Wigeongrade-Run").orElse("none");
        long retryAfterMs = retryAfterMs(collector);
        int status = answer.statusCode();
        if (status != 200) {
            return collector.result(status, errorCode(collector.body(), status), claim, retryAfterMs, latencyNanos);
        }
        return collector.result(status, collector.verdict(call), claim, retryAfterMs, latencyNanos);
    }

    private static long retryAfterMs(AnswerCollector collector) {
        return json(collector.body()).path("error").path("retry_after_ms").asLong(0);
    }

    private static String errorCode(String body, int status) {
        JsonNode error = json(body).path("error");
        return error.isTextual() ? error.asText() : error.path("code").asText("http_" + status);
    }

    static JsonNode json(String text) {
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
