package org.wigeongrade.decisions.membership;

import java.util.Locale;

/** State that an endpoint VM announces. Immutable; safe for use from any thread. */
public enum EndpointState {
    /** Holds no model and belongs to no group. */
    IDLE,
    /** Reads weights; does not serve yet. */
    LOADING,
    /** Serves, but bears its cold capacity only. */
    COLD,
    /** Serves its whole capacity. */
    WARM,
    /** Ends the requests in flight and takes no new work. */
    LEAVING;

    /** Returns the state as it stands in announcements. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the VM may take new work. */
    public boolean serves() {
        return this == COLD || this == WARM;
    }

    /** Returns whether the VM may be bound to a group. */
    public boolean mayJoinGroup() {
        return this != LEAVING;
    }
}
