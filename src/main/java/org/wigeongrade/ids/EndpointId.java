package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies an endpoint: the group name of an engine replica, or the VM name of a plain service replica.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record EndpointId(@JsonValue String value) implements Comparable<EndpointId> {
    public EndpointId {
        Names.check("endpoint id", value);
    }

    /** Parses the id from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static EndpointId of(String value) {
        return new EndpointId(value);
    }

    @Override
    public int compareTo(EndpointId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
