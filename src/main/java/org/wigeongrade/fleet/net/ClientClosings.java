package org.wigeongrade.fleet.net;

import org.wigeongrade.logging.EventLog;
import org.wigeongrade.logging.LogEvent;
import org.wigeongrade.metrics.ClientClosing;
import org.wigeongrade.metrics.Metrics;

/** Counts and logs the connections of clients that are closed. Immutable; safe for use from any thread. */
public record ClientClosings(Metrics metrics, EventLog events) {
    /** @param detail what was observed, for the log */
    void record(ClientClosing cause, String detail) {
        metrics.countRefusal(cause.errorKind());
        metrics.countClientClosing(cause);
        events.write(LogEvent.REQUEST_REFUSED, "-", "-", cause.errorKind().code(), cause.code() + ", " + detail);
    }
}
