package org.wigeongrade.metrics;

import java.util.Locale;

/** How a caller's request ended, as quality of service counts it. Immutable; safe for use from any thread. */
public enum RequestOutcome {
    /** The caller got its whole answer. */
    COMPLETED,
    /** The caller was told truly that the request was not run. */
    REFUSED,
    /** The request was sent, and the caller got an error. */
    FAILED,
    /** The caller closed the connection first. */
    CANCELLED;

    /** Returns the outcome as it stands in the counter's label. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
