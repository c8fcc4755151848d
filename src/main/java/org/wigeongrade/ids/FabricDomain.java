package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a fabric domain: a set of VMs that share one fast interconnect.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record FabricDomain(@JsonValue String value) implements Comparable<FabricDomain> {
    public FabricDomain {
        Names.check("fabric domain name", value);
    }

    /** Parses the name from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static FabricDomain of(String value) {
        return new FabricDomain(value);
    }

    @Override
    public int compareTo(FabricDomain other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
