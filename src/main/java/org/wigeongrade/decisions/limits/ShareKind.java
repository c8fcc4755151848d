package org.wigeongrade.decisions.limits;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** The kind of resource that a share limits. */
public enum ShareKind {
    /** Requests in flight at one endpoint. */
    ENDPOINT_SLOTS,
    /** Requests in flight of one organisation. */
    ORGANISATION_IN_FLIGHT,
    /** Requests of one organisation per second. */
    ORGANISATION_REQUEST_RATE,
    /** Tokens of one organisation per minute. */
    ORGANISATION_TOKENS_PER_MINUTE;

    /** Returns whether work that a holder started may continue after the deadline of its share. */
    public boolean outlivesDeadline() {
        return switch (this) {
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> true;
            case ORGANISATION_REQUEST_RATE, ORGANISATION_TOKENS_PER_MINUTE -> false;
        };
    }

    /**
     * Returns whether a new leader assumes that all slots not known to be free are in use until the longest run has
     * passed after the end of the previous leader's leases. An organisation's limit protects no endpoint, so for it a
     * new leader waits only for the end of those leases.
     */
    public boolean inheritsWork() {
        return this == ENDPOINT_SLOTS;
    }

    /** Returns whether the share limits a rate rather than work in flight. */
    public boolean isRate() {
        return periodNanos() > 0;
    }

    /** Returns the period to which the limit applies, in nanoseconds; 0 for work in flight. */
    public long periodNanos() {
        return switch (this) {
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> 0;
            case ORGANISATION_REQUEST_RATE -> TimeUnit.SECONDS.toNanos(1);
            case ORGANISATION_TOKENS_PER_MINUTE -> TimeUnit.MINUTES.toNanos(1);
        };
    }

    /** Returns for how long an unused rate accumulates, in nanoseconds. */
    public long burstNanos() {
        return switch (this) {
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> 0;
            case ORGANISATION_REQUEST_RATE -> TimeUnit.SECONDS.toNanos(1);
            case ORGANISATION_TOKENS_PER_MINUTE -> TimeUnit.SECONDS.toNanos(10);
        };
    }

    /** Returns the name in lower case, as used in metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
