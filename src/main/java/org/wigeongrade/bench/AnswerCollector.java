package org.wigeongrade.bench;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Flow;

/**
 * Takes the lines of one answer, streamed or not, with the times at which tokens came.
 *
 * <p>Lines come from one thread at a time. Safe for use from any thread.
 */
final class AnswerCollector implements Flow.Subscriber<String> {
    private static final String DATA = "data: ";

    private final long startNanos;
    private final StringBuilder body = new StringBuilder();
    private final StringBuilder text = new StringBuilder();
    private final List<Long> gapsNanos = new ArrayList<>();
    private boolean streamed;
    private boolean done;
    private String error = "";
    private long firstTokenNanos = -1;
    private long lastTokenNanos;

    AnswerCollector(long startNanos) {
        this.startNanos = startNanos;
    }

    HttpResponse.BodySubscriber<Void> handle(HttpResponse.ResponseInfo info) {
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
        if (!line.startsWith(DATA)) {
            return;
        }
        String data = line.substring(DATA.length());
        if (data.equals("[DONE]")) {
            done = true;
            return;
        }
        takeEvent(ModelClient.json(data));
    }

    private void takeEvent(JsonNode event) {
        if (event.has("error")) {
            error = event.path("error").path("code").asText("error_event");
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
        // The client's future reports the failure.
    }

    @Override
    public void onComplete() {
        // The client's future reports the end.
    }

    synchronized String body() {
        return body.toString();
    }

    /** Returns the code for an answer with status 200. */
    synchronized String verdict(ModelCall call) {
        if (!error.isEmpty()) {
            return error;
        }
        if (streamed && !done) {
            return "cut_short";
        }
        return answerText().equals(call.expectedAnswer()) ? CallResult.OK : "wrong_answer";
    }

    private String answerText() {
        if (streamed) {
            return text.toString();
        }
        JsonNode choice = ModelClient.json(body.toString()).path("choices").path(0);
        return choice.has("message")
                ? choice.path("message").path("content").asText("")
                : choice.path("text").asText("");
    }

    synchronized CallResult result(int status, String code, String claim, long retryAfterMs, long latencyNanos) {
        return new CallResult(
                status, code, claim, latencyNanos, firstTokenNanos, gapsNanos, retryAfterMs, answerText());
    }
}
