package org.wigeongrade.decisions.control;

import java.util.Locale;

/** Whether an availability zone receives new work, as set by operators. Immutable; safe for use from any thread. */
public enum ZoneState {
    IN,
    OUT;

    /** Returns whether an endpoint in the zone may be sent new work. */
    public boolean takesNewWork() {
        return this == IN;
    }

    /** Returns the state as operators spell it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
