package org.wigeongrade.decisions.routing;

/**
 * An endpoint's own count of its requests at some time in the past. {@code receivedAtNanos} is on this VM's monotonic
 * clock. Immutable; safe for use from any thread.
 */
public record LoadReport(int running, int waiting, long receivedAtNanos) {
    /** Load of an endpoint that has not reported any. */
    public static final LoadReport NONE = new LoadReport(0, 0, 0);

    /** Returns the number of requests that are running or waiting at the endpoint. */
    public int total() {
        return running + waiting;
    }
}
