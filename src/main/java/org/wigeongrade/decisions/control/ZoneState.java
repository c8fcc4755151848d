package org.wigeongrade.decisions.control;

import java.util.Locale;

/** Whether operators let an availability zone receive new work. Immutable; safe for use from any thread. */
public enum ZoneState {
    IN,
    OUT;

    /** Returns whether an endpoint in the zone may be sent new work. */
    public boolean takesNewWork() {
        return this == IN;
    }

    /** Returns the state as operators write it. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
