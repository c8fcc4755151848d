package org.wigeongrade.metrics;

import java.util.Locale;

/** How an attempt to open a connection to an endpoint ended. Immutable; safe for use from any thread. */
public enum ConnectionOutcome {
    OPENED,
    /** The address refused the connection. */
    REFUSED,
    /** Nothing answered in time. */
    TIMED_OUT,
    FAILED;

    /** Returns the value of the metric label for the outcome. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
