package org.wigeongrade.decisions.discovery;

/** State of a group as a member reports it. Immutable; safe for use from any thread. */
public enum GroupState {
    /** The member is joining and may load weights. */
    JOINING,
    /** The member is ready; if it is the head, it does not serve yet. */
    READY,
    /** The head serves. */
    OPEN,
    /** The head finishes or aborts its requests and accepts no new ones. */
    CLOSING,
    /** The head has lost a member and refuses all requests. */
    BROKEN
}
