package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one caller's request across the fleet.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record RequestId(@JsonValue String value) implements Comparable<RequestId> {
    public RequestId {
        Names.check("request id", value);
    }

    /** Parses the id from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static RequestId of(String value) {
        return new RequestId(value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
