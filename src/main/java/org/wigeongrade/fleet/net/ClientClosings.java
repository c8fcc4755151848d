package org.wigeongrade.fleet.net;

import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.ClientClosing;
import org.wigeongrade.metrics.Metrics;

/** Counts and logs the connections of clients that are closed. Immutable; safe for use from any thread. */
public record ClientClosings(Metrics metrics, EventLog events) {
    /** Records that a request was refused and its connection is closed; {@code detail} is for the log. */
    void recordRefused(ClientClosing cause, String detail) {
        metrics.countRefusal(cause.errorKind());
        recordClosed(cause, detail);
    }

    /** Records that a connection is closed without a request that is refused; {@code detail} is for the log. */
    void recordClosed(ClientClosing cause, String detail) {
        metrics.countClientClosing(cause);
        events.write(LogEvent.REQUEST_REFUSED, "-", "-", cause.errorKind().code(), cause.code() + ", " + detail);
    }
}
