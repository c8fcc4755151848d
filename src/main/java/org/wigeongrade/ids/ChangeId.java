package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one change by an operator; if the change is sent again, it carries the same id.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record ChangeId(@JsonValue String value) implements Comparable<ChangeId> {
    public ChangeId {
        Names.check("change id", value);
    }

    /** Parses the id from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static ChangeId of(String value) {
        return new ChangeId(value);
    }

    @Override
    public int compareTo(ChangeId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
