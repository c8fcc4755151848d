package org.wigeongrade.standin;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** What a stand-in writes into its journal. */
public enum JournalEvent {
    /** An order was taken. */
    ORDER,
    /** An order with an old fencing token was refused. */
    ORDER_REFUSED,
    /** The state of the VM changed. */
    STATE,
    /** A request was taken; it may run from here on. */
    STARTED,
    /** A request was refused before any of it ran. */
    REFUSED,
    /** A non-idempotent call was executed. */
    EXECUTED,
    /** A whole answer was handed to the connection. */
    COMPLETED,
    /** The connection was closed before the answer was whole. */
    CANCELLED,
    /** A fault switch cut the answer short. */
    CUT_SHORT,
    /** A fault switch dropped the answer after the request ran. */
    DROPPED,
    /** A request crashed the VM. */
    CRASHED,
    /** The VM received more load than it bears in a cold start and failed. */
    FELL_OVER;

    /** Returns the name as it stands in the journal. */
    @JsonValue
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
