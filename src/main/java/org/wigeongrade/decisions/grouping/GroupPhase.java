package org.wigeongrade.decisions.grouping;

/** Where a group is between its forming and its end. Immutable; safe for use from any thread. */
public enum GroupPhase {
    /** Members are joining. */
    FORMING,
    /** A warm spare: one VM that holds a model's weights and serves nothing. */
    SPARE,
    /** Every member is ready and the head was told to open. */
    OPENING,
    SERVING,
    /** Something speaks against a member; each one is asked whether it is there. */
    CHECKING,
    /** A member leaves; the head ends its work first. */
    DRAINING,
    /** The head is told to drop its work. */
    CLOSING,
    /** The head cannot be reached: its members have left and it breaks by itself. */
    BREAKING,
    /** Its VMs are free. */
    ENDED;

    /** Returns whether requests may be sent to the head. */
    public boolean isRoutable() {
        return this == SERVING || this == CHECKING;
    }

    /** Returns whether the group serves or is on the way to it. */
    public boolean counts() {
        return this == FORMING || this == OPENING || isRoutable();
    }
}
