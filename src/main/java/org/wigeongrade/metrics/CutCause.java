package org.wigeongrade.metrics;

import java.util.Locale;

/**
 * The closed list of reasons for ending a response that has begun before it is complete. A caller that disconnects ends
 * its own response and is not among them. Immutable; safe for use from any thread.
 */
public enum CutCause {
    DEADLINE_PASSED("the deadline of the request or the timeout of its route passed"),
    NODE_STOPPED("the grace period of this node's stop ended"),
    ENDPOINT_BROKE_OFF("its endpoint broke it off, and no other endpoint continued it"),
    ENDPOINT_SILENT("its endpoint was only silent for a time, and no other endpoint continued it"),
    REQUEST_QUARANTINED("the request is suspected of crashing its endpoints"),
    MEMORY_SHORT("memory for clients was short, and its caller did not read"),
    CONNECTION_FAILED("the connection to its caller failed on this node");

    private final String meaning;

    CutCause(String meaning) {
        this.meaning = meaning;
    }

    /** Returns the value of the metric label for the cause. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the description of the cause for the docs. */
    public String meaning() {
        return meaning;
    }
}
