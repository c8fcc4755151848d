package org.wigeongrade.standin;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** Kind of event that a stand-in writes to its journal. */
public enum JournalEvent {
    /** An order was accepted. */
    ORDER,
    /** An order with a stale fencing token was refused. */
    ORDER_REFUSED,
    /** The state of the VM changed. */
    STATE,
    /** A request was admitted; it may run from here on. */
    STARTED,
    /** A request was refused before any of it ran. */
    REFUSED,
    /** A non-idempotent call was executed. */
    EXECUTED,
    /** A complete response was handed to the connection. */
    COMPLETED,
    /** The connection was closed before the response was complete. */
    CANCELLED,
    /** The response was cut short by an injected fault or by the failure of its VM. */
    CUT_SHORT,
    /** An injected fault dropped the response after the request ran. */
    DROPPED,
    /** A request crashed the VM. */
    CRASHED,
    /** The VM received more load than its cold capacity and failed. */
    FELL_OVER;

    /** Returns the name that is written to the journal. */
    @JsonValue
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
