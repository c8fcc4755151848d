package org.wigeongrade.decisions.grouping;

/** What an order tells a VM to do. Immutable; safe for use from any thread. */
public enum GroupOrderKind {
    /** Join the group; the VM's rank is its position in the list of members. */
    JOIN,
    /** Sent to the head: start to serve. */
    OPEN,
    /** Sent to the head: accept no new requests and finish the running ones. */
    CLOSE_WHEN_DONE,
    /** Sent to the head: accept no new requests and abort the running ones. */
    CLOSE_NOW,
    /** Leave the group. */
    LEAVE,
    /** Load a model's weights onto the host in the background; membership in the group does not change. */
    STAGE,
    /** Respond, to show that the VM is alive. */
    PROBE;

    /** Returns whether the order ends a head's service or a VM's membership, so that its response may free VMs. */
    public boolean endsMembership() {
        return switch (this) {
            case CLOSE_WHEN_DONE, CLOSE_NOW, LEAVE -> true;
            case JOIN, OPEN, STAGE, PROBE -> false;
        };
    }
}
