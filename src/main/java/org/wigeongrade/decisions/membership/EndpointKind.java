package org.wigeongrade.decisions.membership;

import java.util.Locale;

/** Kind of endpoint VM. Immutable; safe for use from any thread. */
public enum EndpointKind {
    /** Runs a model engine as a member of a group. */
    ENGINE,
    /** Runs a plain service alone. */
    SERVICE;

    /** Returns the kind as written in announcements. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether VMs of this kind are bound to groups. */
    public boolean joinsGroups() {
        return this == ENGINE;
    }
}
