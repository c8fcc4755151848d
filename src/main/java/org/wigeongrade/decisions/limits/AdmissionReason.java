package org.wigeongrade.decisions.limits;

import java.util.Locale;

/** Why an organisation's request is not admitted; the codes are documented in docs/RULES-routing.md. */
public enum AdmissionReason {
    IN_FLIGHT_EXCEEDED,
    REQUEST_RATE_EXCEEDED,
    TOKEN_RATE_EXCEEDED,
    FAIR_PART_EXCEEDED;

    /** Returns the code used in responses, counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
