package org.wigeongrade.metrics;

import java.util.Locale;

/**
 * How a caller's request ended, as the quality-of-service metric counts it. Immutable; safe for use from any thread.
 */
public enum RequestOutcome {
    /** The caller got its complete response. */
    COMPLETED,
    /** The request was not run, and the caller was told so. */
    REFUSED,
    /** The request may have run, and the caller got an error. */
    FAILED,
    /** The caller closed the connection first. */
    CANCELLED;

    /** Returns the value of the metric label for the outcome. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
