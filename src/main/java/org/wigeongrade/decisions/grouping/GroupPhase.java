package org.wigeongrade.decisions.grouping;

/** Phase in the life cycle of a group. Immutable; safe for use from any thread. */
public enum GroupPhase {
    /** Members are joining. */
    FORMING,
    /** A warm spare: a single VM that loads and keeps a model's weights but serves no requests. */
    SPARE,
    /** Every member is ready and the head was ordered to open. */
    OPENING,
    SERVING,
    /** A member may have failed; every member is probed. */
    CHECKING,
    /** The group is about to end; the head first finishes its running requests. */
    DRAINING,
    /** The head is ordered to abort its requests and leave the group. */
    CLOSING,
    /** The head is unreachable; the members are ordered to leave, after which the head stops serving by itself. */
    BREAKING,
    /** The group has ended and its VMs are free. */
    ENDED;

    /** Returns whether requests may be sent to the head. */
    public boolean isRoutable() {
        return this == SERVING || this == CHECKING;
    }

    /** Returns whether the group no longer serves and has not ended, so that its next order is due at once. */
    public boolean isEnding() {
        return this == CLOSING || this == BREAKING;
    }

    /** Returns whether the group serves or is starting to. */
    public boolean isServingOrStarting() {
        return this == FORMING || this == OPENING || isRoutable();
    }
}
