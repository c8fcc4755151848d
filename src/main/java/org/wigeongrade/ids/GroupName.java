package org.wigeongrade.ids;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Name of a group: the VMs that together run one engine replica.
 *
 * <p>Invariant: matches the pattern of {@link Names}. Immutable; safe for use from any thread.
 */
public record GroupName(@JsonValue String value) implements Comparable<GroupName> {
    public GroupName {
        Names.check("group name", value);
    }

    /** Parses the name from its text form; throws {@link IllegalArgumentException} if it is malformed. */
    @JsonCreator
    public static GroupName of(String value) {
        return new GroupName(value);
    }

    @Override
    public int compareTo(GroupName other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
