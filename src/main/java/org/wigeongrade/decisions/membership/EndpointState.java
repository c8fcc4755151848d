package org.wigeongrade.decisions.membership;

import java.util.Locale;

/** State that an endpoint VM announces. Immutable; safe for use from any thread. */
public enum EndpointState {
    /** Holds no model and belongs to no group. */
    IDLE,
    /** Loads the model weights; does not serve yet. */
    LOADING,
    /** Serves with its reduced cold capacity only. */
    COLD,
    /** Serves with its full capacity. */
    WARM,
    /** Finishes the requests in flight and takes no new work. */
    LEAVING;

    /** Returns the state as written in announcements. */
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
