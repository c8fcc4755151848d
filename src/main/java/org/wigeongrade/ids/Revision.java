package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Number of accepted configuration changes; 0 is the empty configuration.
 *
 * <p>Invariant: never decreases on any node. Immutable; safe for use from any thread.
 */
public record Revision(@JsonValue long value) implements Comparable<Revision> {
    /** Revision of the empty configuration. */
    public static final Revision NONE = new Revision(0);

    @JsonCreator
    public static Revision of(long value) {
        return new Revision(value);
    }

    /** Returns the revision that follows this one. */
    public Revision next() {
        return new Revision(value + 1);
    }

    @Override
    public int compareTo(Revision other) {
        return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
        return Long.toString(value);
    }
}
