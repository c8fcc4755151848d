package org.wigeongrade.decisions.config;

import java.util.Comparator;

/**
 * Identifies an object that operators can query, by its kind and name. Immutable; safe for use from any thread.
 */
public record ObjectId(ObjectKind kind, String name) implements Comparable<ObjectId> {
    private static final Comparator<ObjectId> ORDER =
            Comparator.comparing(ObjectId::kind).thenComparing(ObjectId::name);

    /** The declared set as a whole. */
    public static final ObjectId DECLARED_SET = new ObjectId(ObjectKind.CONFIGURATION, "declared_set");

    /** Returns the id of the named object; {@code name} is any value type whose text form is its name. */
    public static ObjectId of(ObjectKind kind, Object name) {
        return new ObjectId(kind, String.valueOf(name));
    }

    @Override
    public int compareTo(ObjectId other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.label() + " '" + name + "'";
    }
}
