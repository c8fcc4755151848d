package org.wigeongrade.callers;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.wigeongrade.errors.ErrorKind;
import org.wigeongrade.errors.WigeongradeException;

/**
 * A caller's request for a chat or text completion; only the fields that routing needs are parsed.
 *
 * <p>Invariant: {@code body} has every field as the caller sent it. Immutable; safe for use from any thread.
 */
public record GenerationRequest(
        GenerationApi api,
        ObjectNode body,
        String model,
        boolean stream,
        int priority,
        ImmutableList<String> prefixDigests) {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    private static final long DEFAULT_MAX_TOKENS = 256;
    private static final int MAX_PRIORITY = 100;

    /** Parses a body; throws with kind MALFORMED_REQUEST and the invalid field or position if the body is invalid. */
    public static GenerationRequest read(GenerationApi api, byte[] bytes) {
        final ObjectNode body = readObject(bytes);
        final String model = requiredText(body, "model");
        final JsonNode prompt = body.get(api.promptField());
        if (prompt == null || !api.isValidPrompt(prompt)) {
            throw malformed("'" + api.promptField() + "' must be " + api.promptDescription());
        }
        checkMaxTokens(body);
        return new GenerationRequest(
                api, body, model, readStream(body), readPriority(body), PromptPrefixDigests.of(api, prompt));
    }

    /** Returns the maximum number of tokens in the response. */
    long maxTokens() {
        return Math.max(1, body.path("max_tokens").asLong(DEFAULT_MAX_TOKENS));
    }

    /** Returns the body that asks an engine to continue after {@code text}, or the caller's own body if it is empty. */
    public byte[] bodyContinuingFrom(String text) {
        if (text.isEmpty()) {
            return body.toString().getBytes(StandardCharsets.UTF_8);
        }
        final ObjectNode continued = body.deepCopy();
        continued.put("continue_from", text);
        return continued.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode readObject(byte[] bytes) {
        try {
            final JsonNode node = MAPPER.readTree(bytes);
            if (node instanceof ObjectNode object) {
                return object;
            }
            throw malformed("the body must be a JSON object");
        } catch (JsonProcessingException failure) {
            throw malformed("the body is not JSON: " + failure.getOriginalMessage() + " at line "
                    + failure.getLocation().getLineNr() + ", column "
                    + failure.getLocation().getColumnNr());
        } catch (IOException failure) {
            throw new WigeongradeException(ErrorKind.MALFORMED_REQUEST, "the body cannot be read", failure);
        }
    }

    private static String requiredText(ObjectNode body, String field) {
        final JsonNode value = body.get(field);
        if (value == null || !value.isTextual() || value.textValue().isBlank()) {
            throw malformed("'" + field + "' must be a non-blank string");
        }
        return value.textValue();
    }

    private static void checkMaxTokens(ObjectNode body) {
        final JsonNode value = body.get("max_tokens");
        final boolean isAbsent = value == null || value.isNull();
        if (!isAbsent && !(value.isIntegralNumber() && value.canConvertToInt() && value.intValue() > 0)) {
            throw malformed("'max_tokens' must be a whole number of 1 or more");
        }
    }

    private static boolean readStream(ObjectNode body) {
        final JsonNode value = body.get("stream");
        if (value == null || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw malformed("'stream' must be true or false");
        }
        return value.booleanValue();
    }

    private static int readPriority(ObjectNode body) {
        final JsonNode value = body.get("priority");
        if (value == null || value.isNull()) {
            return 0;
        }
        if (!value.isInt() || Math.abs(value.intValue()) > MAX_PRIORITY) {
            throw malformed("'priority' must be a whole number from -" + MAX_PRIORITY + " to " + MAX_PRIORITY);
        }
        return value.intValue();
    }

    private static WigeongradeException malformed(String message) {
        return new WigeongradeException(ErrorKind.MALFORMED_REQUEST, message);
    }
}
