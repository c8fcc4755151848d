package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt to send a request to an endpoint.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record AttemptId(@JsonValue String value) implements Comparable<AttemptId> {
    public AttemptId {
        Names.check("attempt id", value);
    }

    /** Parses the id from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static AttemptId of(String value) {
        return new AttemptId(value);
    }

    @Override
    public int compareTo(AttemptId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
