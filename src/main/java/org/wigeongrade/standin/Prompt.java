package org.wigeongrade.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;

/**
 * The fields of a request body that the stand-in engine uses.
 *
 * <p>Invariant: {@code digest} is {@link ResponseText#digest} of {@code text}; {@code promptJson} is the prompt as it
 * appears in the body. Immutable; safe for use from any thread.
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
    /** Number of tokens generated if the body has no {@code max_tokens}. */
    public static final int DEFAULT_TOKENS = 16;

    /** Reads a chat or completion body; empty if it contains neither messages nor a prompt. */
    public static Optional<Prompt> of(JsonNode body) {
        String text = promptText(body);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Prompt(
                body.path("model").asText(""),
                text,
                ResponseText.digest(text),
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

    /** Returns the full text of the response, including the part already sent. */
    public String fullResponse() {
        return ResponseText.firstTokens(model, digest, maxTokens);
    }

    /** Returns whether the text already sent is a prefix of the response, so that the response can be continued. */
    public boolean canContinue() {
        return fullResponse().startsWith(continueFrom);
    }
}
