package org.wigeongrade.decisions.discovery;

/** State of a group as one of its members reports it. Immutable; safe for use from any thread. */
public enum GroupState {
    /** The member loads weights. */
    JOINING,
    /** The member waits; a head serves nothing yet. */
    READY,
    /** The head serves. */
    OPEN,
    /** The head ends its work and takes none. */
    CLOSING,
    /** The head lost a member and refuses everything. */
    BROKEN
}
