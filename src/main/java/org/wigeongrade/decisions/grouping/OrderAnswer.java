package org.wigeongrade.decisions.grouping;

/** What came back for an order. Immutable; safe for use from any thread. */
public enum OrderAnswer {
    /** The VM has begun to carry the order out. */
    BEGUN,
    /** The order is carried out, or its outcome already held. */
    DONE,
    /** The order does not fit the VM's state, or is older than one that the VM has seen. */
    REFUSED,
    /** Another VM answers at the address: the one that was meant has ended. */
    ENDED,
    /** The address refused the connection. */
    NO_LISTENER,
    /** No answer in time; the order may be carried out later. */
    NONE;

    /** Returns whether the VM itself answered, so that it is alive. */
    public boolean showsLife() {
        return this == BEGUN || this == DONE || this == REFUSED;
    }
}
