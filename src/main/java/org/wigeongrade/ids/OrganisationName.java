package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of an organisation whose callers share one set of limits.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record OrganisationName(@JsonValue String value) implements Comparable<OrganisationName> {
    public OrganisationName {
        Names.check("organisation name", value);
    }

    /** Parses the name from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static OrganisationName of(String value) {
        return new OrganisationName(value);
    }

    @Override
    public int compareTo(OrganisationName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
