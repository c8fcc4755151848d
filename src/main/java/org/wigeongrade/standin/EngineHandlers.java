package org.wigeongrade.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import ratpack.exec.Promise;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.http.ResponseChunks;

/** HTTP side of one stand-in engine VM. Safe for use from any thread. */
final class EngineHandlers {
    private static final String WRONG_ID = "attempt-of-another-request";

    private final EngineVm engine;

    EngineHandlers(EngineVm engine) {
        this.engine = engine;
    }

    /** Adds the engine's paths to {@code chain}. */
    void addTo(Chain chain) throws Exception {
        chain.post("v1/orders", this::order);
        chain.post("v1/chat/completions", ctx -> generate(ctx, AnswerForm.CHAT));
        chain.post("v1/completions", ctx -> generate(ctx, AnswerForm.COMPLETION));
        chain.get("standin/journal", ctx -> ctx.render(engine.journal().text()));
        chain.post("standin/faults", this::faults);
    }

    private void faults(Context ctx) {
        ctx.getRequest().getBody().then(body -> {
            engine.apply(StandinJson.MAPPER.readValue(body.getText(), Faults.class));
            ctx.render("");
        });
    }

    private void order(Context ctx) {
        ctx.getRequest().getBody().then(body -> {
            EngineOrder order = StandinJson.MAPPER.readValue(body.getText(), EngineOrder.class);
            if (engine.follow(order)) {
                StandinServer.sendJson(ctx, 200, Map.of("accepted", true));
            } else {
                StandinServer.sendJson(ctx, 409, Map.of("accepted", false, "error", "stale_fencing_token"));
            }
        });
    }

    private void generate(Context ctx, AnswerForm form) {
        ctx.getRequest().getBody().then(body -> {
            Optional<Prompt> prompt = parse(body.getText());
            if (prompt.isEmpty()) {
                StandinServer.sendJson(ctx, 400, Map.of("error", "the body needs messages or a prompt"));
                return;
            }
            String attempt = StandinServer.header(ctx, "X-Request-Id", "");
            int priority = Integer.parseInt(StandinServer.header(ctx, "X-Request-Priority", "0"));
            answer(ctx, form, prompt.get(), engine.admit(attempt, prompt.get(), priority));
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

    private void answer(Context ctx, AnswerForm form, Prompt prompt, Admission admission) {
        if (admission instanceof Admission.Refused refused) {
            StandinServer.sendRefusal(ctx, refused.httpStatus(), refused.reason());
        } else if (admission instanceof Admission.Taken taken) {
            send(ctx, form, prompt, taken.generation());
        } else {
            StandinServer.cutConnection(ctx);
        }
    }

    private void send(Context ctx, AnswerForm form, Prompt prompt, Generation generation) {
        String id = engine.faults().givesWrongId() ? WRONG_ID : generation.attempt();
        ctx.getResponse().getHeaders().set("X-Request-Id", id);
        if (generation.cold()) {
            ctx.getResponse().getHeaders().set("X-Endpoint-State", "cold");
        }
        StandinServer.whenConnectionCloses(ctx, generation::cancel);
        if (prompt.stream()) {
            sendStream(ctx, form, id, generation);
        } else {
            sendWhole(ctx, form, id, prompt, generation);
        }
    }

    private void sendStream(Context ctx, AnswerForm form, String id, Generation generation) {
        EventPublisher events = new EventPublisher(generation::cancel);
        generation.open(new Generation.Listener() {
            @Override
            public void token(String text) {
                events.put(event(form.streamed(id, text, null)));
            }

            @Override
            public void ended(JournalEvent outcome) {
                if (outcome == JournalEvent.COMPLETED) {
                    events.put(event(form.streamed(id, "", "length")));
                    events.put("data: [DONE]\n\n");
                    events.end();
                } else if (outcome != JournalEvent.CANCELLED) {
                    StandinServer.cutConnection(ctx);
                }
            }
        });
        ctx.render(ResponseChunks.stringChunks("text/event-stream", events));
    }

    private static String event(Object message) {
        return "data: " + StandinJson.write(message) + "\n\n";
    }

    private void sendWhole(Context ctx, AnswerForm form, String id, Prompt prompt, Generation generation) {
        Promise.<Optional<String>>async(down -> generation.open(new Generation.Listener() {
                    private final StringBuilder text = new StringBuilder();

                    @Override
                    public void token(String token) {
                        text.append(token);
                    }

                    @Override
                    public void ended(JournalEvent outcome) {
                        down.success(
                                outcome == JournalEvent.COMPLETED ? Optional.of(text.toString()) : Optional.empty());
                    }
                }))
                .then(text -> {
                    if (text.isEmpty() || engine.faults().dropsAnswer()) {
                        StandinServer.cutConnection(ctx);
                        return;
                    }
                    int tokens = text.get().length() / AnswerText.TOKEN_CHARS;
                    int promptTokens = prompt.text().length() / AnswerText.TOKEN_CHARS;
                    StandinServer.sendJson(ctx, 200, form.whole(id, prompt.model(), text.get(), promptTokens, tokens));
                });
    }
}
