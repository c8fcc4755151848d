package org.wigeongrade.decisions.routing;

/**
 * An endpoint's own count of requests, as it stood some time ago. {@code receivedAtNanos} is on this VM's monotonic
 * clock. Immutable; safe for use from any thread.
 */
public record LoadReport(int running, int waiting, long receivedAtNanos) {
    /** Load of an endpoint that has reported none. */
    public static final LoadReport NONE = new LoadReport(0, 0, 0);

    /** Returns the requests at the endpoint. */
    public int total() {
        return running + waiting;
    }
}
