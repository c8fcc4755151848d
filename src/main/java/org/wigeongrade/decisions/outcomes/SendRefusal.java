package org.wigeongrade.decisions.outcomes;

import java.util.Locale;
import org.wigeongrade.errors.ErrorKind;

/** Why the final check refused to send a request; the codes are documented in docs/RULES-routing.md. */
public enum SendRefusal {
    VIEW_LEASE_ENDED(ErrorKind.NO_VIEW_LEASE),
    SEND_SERVING_LEASE_ENDED(ErrorKind.NO_WHOLE_GROUP),
    SLOT_DEADLINE_PASSED(ErrorKind.NO_FREE_SLOT),
    CLAIM_DEADLINE_PASSED(ErrorKind.CONTROL_UNAVAILABLE),
    ATTEMPT_DEADLINE_PASSED(ErrorKind.NO_FREE_SLOT);

    private final ErrorKind errorKind;

    SendRefusal(ErrorKind errorKind) {
        this.errorKind = errorKind;
    }

    /** Returns the kind of error to report to the caller; it always says that the request was not run. */
    public ErrorKind errorKind() {
        return errorKind;
    }

    /** Returns the code used in responses, counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
