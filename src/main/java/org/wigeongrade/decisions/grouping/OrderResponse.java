package org.wigeongrade.decisions.grouping;

/** The response to an order. Immutable; safe for use from any thread. */
public enum OrderResponse {
    /** The VM has started to carry out the order. */
    BEGUN,
    /** The order is carried out, or there was nothing left to do. */
    DONE,
    /** The order does not match the VM's state, or is older than one that the VM has seen. */
    REFUSED,
    /** The response does not show whether the VM closed or left: an error, or a refusal because of a newer leader. */
    INCONCLUSIVE,
    /** Another VM, or another process of the VM, responded at the address, so the addressed one has ended. */
    ENDED,
    /** The address refused the connection: the process has ended, has stopped listening, or is cut off. */
    NO_LISTENER,
    /** No response came in time; the order may still be carried out later. */
    NONE;

    /** Returns whether the addressed VM responded about its state, which shows that it is alive. */
    public boolean isFromLiveVm() {
        return this == BEGUN || this == DONE || this == REFUSED;
    }
}
