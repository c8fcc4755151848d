package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of one process of this system, unique in the fleet.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record NodeName(@JsonValue String value) implements Comparable<NodeName> {
    public NodeName {
        Names.check("node name", value);
    }

    /** Parses the name from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static NodeName of(String value) {
        return new NodeName(value);
    }

    @Override
    public int compareTo(NodeName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
