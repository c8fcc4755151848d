package org.wigeongrade.standin;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The JSON format of a response, which depends on the request's path. */
enum ResponseFormat {
    CHAT("chat.completion"),
    COMPLETION("text_completion");

    private final String object;

    ResponseFormat(String object) {
        this.object = object;
    }

    /** Returns one event of a streamed response; {@code finishReason} is null in all events but the last. */
    Map<String, Object> streamEvent(String id, String text, String finishReason) {
        ObjectNode choice = StandinJson.MAPPER.createObjectNode();
        choice.put("index", 0);
        switch (this) {
            case CHAT -> choice.putObject("delta").put("content", text);
            case COMPLETION -> choice.put("text", text);
        }
        choice.put("finish_reason", finishReason);
        return Map.of("id", id, "object", object + (this == CHAT ? ".chunk" : ""), "choices", List.of(choice));
    }

    /** Returns the body of a response that is not streamed. */
    Map<String, Object> fullBody(String id, String model, String text, int promptTokens, int tokens) {
        Map<String, Object> choice = new HashMap<>();
        choice.put("index", 0);
        choice.put("finish_reason", "length");
        switch (this) {
            case CHAT -> choice.put("message", Map.of("role", "assistant", "content", text));
            case COMPLETION -> choice.put("text", text);
        }
        Map<String, Integer> usage = Map.of(
                "prompt_tokens", promptTokens, "completion_tokens", tokens, "total_tokens", promptTokens + tokens);
        return Map.of("id", id, "object", object, "model", model, "choices", List.of(choice), "usage", usage);
    }
}
