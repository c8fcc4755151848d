package org.wigeongrade.decisions.control;

/** Whether operators let an availability zone receive new work. */
public enum ZoneState {
    IN,
    OUT;

    /** Returns whether an endpoint in the zone may be sent new work. */
    public boolean takesNewWork() {
        return this == IN;
    }
}
