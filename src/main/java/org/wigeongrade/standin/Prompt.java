package org.wigeongrade.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * What the stand-in engine reads from a request body: who asks for what, and how many tokens.
 *
 * <p>Invariant: {@code digest} is {@link AnswerText#digest} of {@code text}; {@code promptJson} is the prompt as it
 * stands in the body. Immutable; safe for use from any thread.
 */
public record Prompt(
        String model,
        String text,
        String digest,
        String promptJson,
        int maxTokens,
        boolean stream,
        String continueFrom,
        String user) {
    /** Tokens generated if the body does not say {@code max_tokens}. */
    public static final int DEFAULT_TOKENS = 16;

    /** Reads a chat or completion body; empty if it holds neither messages nor a prompt. */
    public static Optional<Prompt> of(JsonNode body) {
        String text = promptText(body);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Prompt(
                body.path("model").asText(""),
                text,
                AnswerText.digest(text),
                body.path(body.has("prompt") ? "prompt" : "messages").toString(),
                body.path("max_tokens").asInt(DEFAULT_TOKENS),
                body.path("stream").asBoolean(false),
                body.path("continue_from").asText(""),
                body.path("user").asText("")));
    }

    private static String promptText(JsonNode body) {
        if (body.path("prompt").isTextual()) {
            return body.path("prompt").asText();
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : body.path("messages")) {
            JsonNode content = message.path("content");
            text.append(message.path("role").asText()).append(": ");
            text.append(content.isTextual() ? content.asText() : content.toString())
                    .append('\n');
        }
        return text.toString();
    }

    /** Returns the whole text of the answer, the part already sent included. */
    public String wholeAnswer() {
        return AnswerText.whole(model, digest, maxTokens);
    }

    /** Returns whether the answer can go on after the text that was already sent. */
    public boolean canContinue() {
        return wholeAnswer().startsWith(continueFrom);
    }
}
