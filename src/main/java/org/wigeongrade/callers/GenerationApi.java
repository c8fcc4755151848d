package org.wigeongrade.callers;

import com.fasterxml.jackson.databind.JsonNode;

/** The two HTTP APIs for generations: chat completions and text completions. */
public enum GenerationApi {
    CHAT("/v1/chat/completions", "messages", "a non-empty list of objects with 'role' and 'content'"),
    TEXT("/v1/completions", "prompt", "a non-empty string");

    private final String path;
    private final String promptField;
    private final String promptDescription;

    GenerationApi(String path, String promptField, String promptDescription) {
        this.path = path;
        this.promptField = promptField;
        this.promptDescription = promptDescription;
    }

    /** Returns the path of the API, which callers and engines share. */
    public String path() {
        return path;
    }

    String promptField() {
        return promptField;
    }

    String promptDescription() {
        return promptDescription;
    }

    boolean isValidPrompt(JsonNode prompt) {
        return switch (this) {
            case CHAT -> isMessageList(prompt);
            case TEXT -> prompt.isTextual() && !prompt.textValue().isEmpty();
        };
    }

    /** Returns the prompt as a single text, as engines see it. */
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
