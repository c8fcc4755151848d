package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an availability zone.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record AvailabilityZone(@JsonValue String value) implements Comparable<AvailabilityZone> {
    public AvailabilityZone {
        Names.check("availability zone name", value);
    }

    /** Parses the name from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static AvailabilityZone of(String value) {
        return new AvailabilityZone(value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
