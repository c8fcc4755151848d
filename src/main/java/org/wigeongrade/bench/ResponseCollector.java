package org.wigeongrade.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Flow;

/**
 * Collects the lines of one response, streamed or not, and the times at which its tokens arrived.
 *
 * <p>Lines arrive from one thread at a time. Safe for use from any thread.
 */
final class ResponseCollector implements Flow.Subscriber<String> {
    private static final String DATA_PREFIX = "data: ";

    private final long startNanos;
    private final StringBuilder body = new StringBuilder();
    private final StringBuilder text = new StringBuilder();
    private final List<Long> gapsNanos = new ArrayList<>();
    private boolean streamed;
    private boolean doneReceived;
    private String errorCode = "";
    private long firstTokenNanos = -1;
    private long lastTokenNanos;

    ResponseCollector(long startNanos) {
        this.startNanos = startNanos;
    }

    /** Returns a subscriber that passes each line of the response body to this collector. */
    HttpResponse.BodySubscriber<Void> bodySubscriber(HttpResponse.ResponseInfo info) {
        synchronized (this) {
            streamed = info.headers().firstValue("Content-Type").orElse("").startsWith("text/event-stream");
        }
        return HttpResponse.BodySubscribers.fromLineSubscriber(
                this, collector -> null, java.nio.charset.StandardCharsets.UTF_8, null);
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public synchronized void onNext(String line) {
        if (!streamed) {
            body.append(line);
            return;
        }
        if (!line.startsWith(DATA_PREFIX)) {
            return;
        }
        String data = line.substring(DATA_PREFIX.length());
        if (data.equals("[DONE]")) {
            doneReceived = true;
            return;
        }
        onEvent(ModelClient.parseJson(data));
    }

    private void onEvent(JsonNode event) {
        if (event.has("error")) {
            errorCode = event.path("error").path("code").asText("error_event");
            body.append(event);
            return;
        }
        JsonNode choice = event.path("choices").path(0);
        String token = choice.has("delta")
                ? choice.path("delta").path("content").asText("")
                : choice.path("text").asText("");
        if (token.isEmpty()) {
            return;
        }
        text.append(token);
        long nowNanos = System.nanoTime();
        if (firstTokenNanos < 0) {
            firstTokenNanos = nowNanos - startNanos;
        } else {
            gapsNanos.add(nowNanos - lastTokenNanos);
        }
        lastTokenNanos = nowNanos;
    }

    @Override
    public void onError(Throwable failure) {
        // The future returned by the HTTP client reports the failure.
    }

    @Override
    public void onComplete() {
        // The future returned by the HTTP client reports the end of the response.
    }

    synchronized String body() {
        return body.toString();
    }

    /** Returns the result code of a response with status 200. */
    synchronized String resultCode(ModelCall call) {
        if (!errorCode.isEmpty()) {
            return errorCode;
        }
        if (streamed && !doneReceived) {
            return "cut_short";
        }
        return responseText().equals(call.expectedText()) ? CallResult.OK : "wrong_answer";
    }

    private String responseText() {
        if (streamed) {
            return text.toString();
        }
        JsonNode choice = ModelClient.parseJson(body.toString()).path("choices").path(0);
        return choice.has("message")
                ? choice.path("message").path("content").asText("")
                : choice.path("text").asText("");
    }

    synchronized CallResult toResult(int status, String code, String runStatus, long retryAfterMs, long latencyNanos) {
        return new CallResult(
                status, code, runStatus, latencyNanos, firstTokenNanos, gapsNanos, retryAfterMs, responseText());
    }
}
