package org.wigeongrade.decisions.grouping;

/** What a VM is told to do with a group. Immutable; safe for use from any thread. */
public enum GroupOrderKind {
    /** Take the place in the group that the list of members gives. */
    JOIN,
    /** To the head: begin to serve. */
    OPEN,
    /** To the head: take no more work and end what runs. */
    CLOSE_WHEN_DONE,
    /** To the head: take no more work and drop what runs. */
    CLOSE_NOW,
    /** Be in the group no more. */
    LEAVE,
    /** Load a model's weights onto the host, whatever else goes on; the group stays as it is. */
    STAGE,
    /** Only say that you are there. */
    PROBE
}
