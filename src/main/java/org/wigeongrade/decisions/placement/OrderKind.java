package org.wigeongrade.decisions.placement;

import java.util.Locale;

/** Kinds of order to an engine VM. Immutable; safe for use from any thread. */
public enum OrderKind {
    /** Load the model version as a member of the group. */
    JOIN,
    /** Free the group and go idle. */
    LEAVE;

    /** Returns the kind as it stands in orders. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
