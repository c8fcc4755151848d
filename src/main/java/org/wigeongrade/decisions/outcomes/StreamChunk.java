package org.wigeongrade.decisions.outcomes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableSet;
import java.util.Iterator;

/** Tests and edits for one event of a streamed chat or text completion. Stateless. */
final class StreamChunk {
    private static final ImmutableSet<String> TEXT_FIELDS = ImmutableSet.of("role", "content");

    private StreamChunk() {}

    /** Returns the text that the event adds; empty if none. */
    static String content(ObjectNode chunk) {
        JsonNode choice = firstChoice(chunk);
        JsonNode text = choice.path("text");
        return text.isTextual()
                ? text.asText()
                : choice.path("delta").path("content").asText("");
    }

    static boolean hasContent(ObjectNode chunk) {
        return !content(chunk).isEmpty();
    }

    static boolean isFinish(ObjectNode chunk) {
        return firstChoice(chunk).path("finish_reason").isTextual();
    }

    /** Returns whether the event holds at most one choice, and that choice only text. */
    static boolean isPlainText(ObjectNode chunk) {
        JsonNode choices = chunk.path("choices");
        if (choices.size() > 1 || firstChoice(chunk).path("index").asInt(0) != 0) {
            return false;
        }
        Iterator<String> fields = firstChoice(chunk).path("delta").fieldNames();
        while (fields.hasNext()) {
            if (!TEXT_FIELDS.contains(fields.next())) {
                return false;
            }
        }
        return true;
    }

    static ObjectNode withoutContent(ObjectNode chunk) {
        ObjectNode copy = chunk.deepCopy();
        ObjectNode choice = (ObjectNode) firstChoice(copy);
        if (choice.has("text")) {
            choice.put("text", "");
        }
        if (choice.path("delta") instanceof ObjectNode delta) {
            delta.remove("content");
        }
        return copy;
    }

    static ObjectNode withoutFinish(ObjectNode chunk) {
        ObjectNode copy = chunk.deepCopy();
        ((ObjectNode) firstChoice(copy)).putNull("finish_reason");
        return copy;
    }

    private static JsonNode firstChoice(ObjectNode chunk) {
        return chunk.path("choices").path(0);
    }
}
