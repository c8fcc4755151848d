package org.wigeongrade.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;

/** HTTP handlers of one stand-in engine VM. Safe for use from any thread. */
final class EngineHandlers {
    private static final String WRONG_ATTEMPT_ID = "attempt-of-another-request";

    private final EngineVm engine;

    EngineHandlers(EngineVm engine) {
        this.engine = engine;
    }

    /** Adds the handlers of the engine's paths to {@code chain}. */
    void addTo(Chain chain) throws Exception {
        chain.post("v1/orders", this::handleOrder);
        chain.post("v1/chat/completions", ctx -> handleGeneration(ctx, ResponseFormat.CHAT));
        chain.post("v1/completions", ctx -> handleGeneration(ctx, ResponseFormat.COMPLETION));
        chain.get("standin/journal", ctx -> ctx.render(engine.journal().toJsonLines()));
        chain.post("standin/faults", this::handleFaults);
    }

    private void handleFaults(Context ctx) {
        ctx.getRequest().getBody().then(body -> {
            engine.apply(StandinJson.MAPPER.readValue(body.getText(), Faults.class));
            ctx.render("");
        });
    }

    private void handleOrder(Context ctx) {
        ctx.getRequest().getBody().then(body -> {
            EngineOrder order = StandinJson.MAPPER.readValue(body.getText(), EngineOrder.class);
            if (engine.handleOrder(order)) {
                StandinServer.sendJson(ctx, 200, Map.of("accepted", true));
            } else {
                StandinServer.sendJson(ctx, 409, Map.of("accepted", false, "error", "stale_fencing_token"));
            }
        });
    }

    private void handleGeneration(Context ctx, ResponseFormat format) {
        ctx.getRequest().getBody().then(body -> {
            Optional<Prompt> prompt = parse(body.getText());
            if (prompt.isEmpty()) {
                StandinServer.sendJson(ctx, 400, Map.of("error", "the body needs messages or a prompt"));
                return;
            }
            String attemptId = StandinServer.header(ctx, "X-Request-Id", "");
            int priority = Integer.parseInt(StandinServer.header(ctx, "X-Request-Priority", "0"));
            respond(ctx, format, prompt.get(), engine.admit(attemptId, prompt.get(), priority));
        });
    }

    private static Optional<Prompt> parse(String body) {
        try {
            JsonNode json = StandinJson.MAPPER.readTree(body);
            return json == null ? Optional.empty() : Prompt.of(json);
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    private void respond(Context ctx, ResponseFormat format, Prompt prompt, Admission admission) {
        if (admission instanceof Admission.Refused refused) {
            StandinServer.sendRefusal(ctx, refused.httpStatus(), refused.reason());
        } else if (admission instanceof Admission.Admitted admitted) {
            sendGeneration(ctx, format, prompt, admitted.generation());
        } else {
            StandinServer.closeConnection(ctx);
        }
    }

    private void sendGeneration(Context ctx, ResponseFormat format, Prompt prompt, Generation generation) {
        String attemptId = engine.faults().usesWrongAttemptId() ? WRONG_ATTEMPT_ID : generation.attemptId();
        ctx.getResponse().getHeaders().set("X-Request-Id", attemptId);
        if (generation.cold()) {
            ctx.getResponse().getHeaders().set("X-Endpoint-State", "cold");
        }
        StandinServer.whenConnectionCloses(ctx, generation::cancel);
        if (prompt.stream()) {
            sendStream(ctx, format, attemptId, generation);
        } else {
            sendFullBody(ctx, format, attemptId, prompt, generation);
        }
    }

    private void sendStream(Context ctx, ResponseFormat format, String attemptId, Generation generation) {
        EventPublisher events = new EventPublisher(generation::cancel);
        generation.start(new Generation.Listener() {
            @Override
            public void onToken(String text) {
                events.publish(event(format.streamEvent(attemptId, text, null)));
            }

            @Override
            public void onEnd(JournalEvent outcome) {
                if (outcome == JournalEvent.COMPLETED) {
                    events.publish(event(format.streamEvent(attemptId, "", "length")));
                    events.publish("data: [DONE]\n\n");
                    events.end();
                } else if (outcome != JournalEvent.CANCELLED) {
                    StandinServer.closeConnection(ctx);
                }
            }
        });
        ctx.render(ResponseChunks.stringChunks("text/event-stream", events));
    }

    private static String event(Object message) {
        return "data: " + StandinJson.write(message) + "\n\n";
    }

    private void sendFullBody(
            Context ctx, ResponseFormat format, String attemptId, Prompt prompt, Generation generation) {
        Promise.<Optional<String>>async(downstream -> generation.start(new Generation.Listener() {
                    private final StringBuilder text = new StringBuilder();

                    @Override
                    public void onToken(String token) {
                        text.append(token);
                    }

                    @Override
                    public void onEnd(JournalEvent outcome) {
                        downstream.success(
                                outcome == JournalEvent.COMPLETED ? Optional.of(text.toString()) : Optional.empty());
                    }
                }))
                .then(text -> {
                    if (text.isEmpty() || engine.faults().dropsResponse()) {
                        StandinServer.closeConnection(ctx);
                        return;
                    }
                    int tokens = text.get().length() / ResponseText.TOKEN_CHARS;
                    int promptTokens = prompt.text().length() / ResponseText.TOKEN_CHARS;
                    StandinServer.sendJson(
                            ctx, 200, format.fullBody(attemptId, prompt.model(), text.get(), promptTokens, tokens));
                });
    }
}
