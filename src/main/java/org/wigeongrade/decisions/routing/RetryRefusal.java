package org.wigeongrade.decisions.routing;

import java.util.Locale;

/** Why a request is not retried; the codes are documented in docs/RULES-routing.md. */
public enum RetryRefusal {
    ALREADY_ANSWERED,
    MAY_HAVE_RUN,
    ANSWER_NOT_RESUMABLE,
    ATTEMPTS_EXHAUSTED,
    DEADLINE_TOO_NEAR,
    RETRY_BUDGET_SPENT;

    /** Returns the code used in responses, counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
