package org.wigeongrade.ids;

/**
 * Identifies a part of a prompt. Requests whose prompts contain the same text name the same part.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record PromptPartId(String value) {
    public PromptPartId {
        Names.check("prompt part", value);
    }

    /** Parses the id from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    public static PromptPartId of(String value) {
        return new PromptPartId(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
