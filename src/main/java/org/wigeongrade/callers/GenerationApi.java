package org.wigeongrade.callers;

import com.fasterxml.jackson.databind.JsonNode;

/** The two forms in which callers ask for a generation. */
public enum GenerationApi {
    CHAT("/v1/chat/completions", "messages", "a non-empty list of objects with 'role' and 'content'"),
    TEXT("/v1/completions", "prompt", "a text that is not empty");

    private final String path;
    private final String promptField;
    private final String promptShape;

    GenerationApi(String path, String promptField, String promptShape) {
        this.path = path;
        this.promptField = promptField;
        this.promptShape = promptShape;
    }

    /** Returns the path, the same for callers and engines. */
    public String path() {
        return path;
    }

    String promptField() {
        return promptField;
    }

    String promptShape() {
        return promptShape;
    }

    boolean promptIsWellFormed(JsonNode prompt) {
        return switch (this) {
            case CHAT -> isMessageList(prompt);
            case TEXT -> prompt.isTextual() && !prompt.textValue().isEmpty();
        };
    }

    /** Returns the prompt as one text, as engines see it. */
    String promptText(JsonNode prompt) {
        return switch (this) {
            case CHAT -> joinMessages(prompt);
            case TEXT -> prompt.textValue();
        };
    }

    private static String joinMessages(JsonNode messages) {
        final StringBuilder text = new StringBuilder();
        for (final JsonNode message : messages) {
            final JsonNode content = message.path("content");
            text.append(message.path("role").asText()).append(": ");
            text.append(content.isTextual() ? content.asText() : content.toString())
                    .append('\n');
        }
        return text.toString();
    }

    private static boolean isMessageList(JsonNode messages) {
        if (!messages.isArray() || messages.isEmpty()) {
            return false;
        }
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || message.path("content").isMissingNode()) {
                return false;
            }
        }
        return true;
    }
}
