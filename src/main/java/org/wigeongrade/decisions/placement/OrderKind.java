package org.wigeongrade.decisions.placement;

import java.util.Locale;

/** Kinds of orders that the leader sends to engine VMs. Immutable; safe for use from any thread. */
public enum OrderKind {
    /** Load the model version as a member of the group. */
    JOIN,
    /** Leave the group and become idle. */
    LEAVE;

    /** Returns the kind as it is written in orders. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
