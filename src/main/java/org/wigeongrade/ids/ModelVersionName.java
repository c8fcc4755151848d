package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a model version.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record ModelVersionName(@JsonValue String value) implements Comparable<ModelVersionName> {
    public ModelVersionName {
        Names.check("model version name", value);
    }

    /** Parses the name from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static ModelVersionName of(String value) {
        return new ModelVersionName(value);
    }

    @Override
    public int compareTo(ModelVersionName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
