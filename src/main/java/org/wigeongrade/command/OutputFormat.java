package org.wigeongrade.command;

import com.fasterxml.jackson.databind.JsonNode;

/** Format in which a command prints its result. Immutable; safe for use from any thread. */
public enum OutputFormat {
    TEXT,
    JSON;

    /** Returns the result as text that ends with a line break. */
    public String render(JsonNode result) {
        return switch (this) {
            case TEXT -> TextRenderer.render(result);
            case JSON -> result.toPrettyString() + "\n";
        };
    }
}
