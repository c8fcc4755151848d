package org.wigeongrade.decisions.limits;

import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** What a share bounds. */
public enum ShareKind {
    /** Requests in flight at one endpoint. */
    ENDPOINT_SLOTS,
    /** Requests in flight of one organisation. */
    ORGANISATION_IN_FLIGHT,
    /** Requests of one organisation in each second. */
    ORGANISATION_REQUEST_RATE,
    /** Tokens of one organisation in each minute. */
    ORGANISATION_TOKENS_PER_MINUTE;

    /** Returns whether work that a holder began may go on after the deadline of its share. */
    public boolean outlivesDeadline() {
        return switch (this) {
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> true;
            case ORGANISATION_REQUEST_RATE, ORGANISATION_TOKENS_PER_MINUTE -> false;
        };
    }

    /**
     * Returns whether a new leader counts what it does not know of as in use for the longest run after the older leases.
     * An organisation's limit protects no endpoint, so there the older leases alone are waited out.
     */
    public boolean inheritsWork() {
        return this == ENDPOINT_SLOTS;
    }

    /** Returns whether the share bounds a rate and not work in flight. */
    public boolean isRate() {
        return periodNanos() > 0;
    }

    /** Returns the span over which the bound counts, in nanoseconds; 0 for work in flight. */
    public long periodNanos() {
        return switch (this) {
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> 0;
            case ORGANISATION_REQUEST_RATE -> TimeUnit.SECONDS.toNanos(1);
            case ORGANISATION_TOKENS_PER_MINUTE -> TimeUnit.MINUTES.toNanos(1);
        };
    }

    /** Returns how long an unused rate may be saved up, in nanoseconds. */
    public long burstNanos() {
        return switch (this) {
            case ENDPOINT_SLOTS, ORGANISATION_IN_FLIGHT -> 0;
            case ORGANISATION_REQUEST_RATE -> TimeUnit.SECONDS.toNanos(1);
            case ORGANISATION_TOKENS_PER_MINUTE -> TimeUnit.SECONDS.toNanos(10);
        };
    }

    /** Returns the name in lower case, as it stands in metrics. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
