package org.wigeongrade.decisions.routing;

import java.util.Locale;

/** Why an endpoint was rejected in a routing decision; the codes are documented in docs/RULES-routing.md. */
public enum RouteReason {
    WRONG_TARGET,
    EXCLUDED,
    LEAVING,
    ZONE_OUT,
    SERVING_LEASE_ENDED,
    COLD_NOT_HOLDER,
    COLD_FULL,
    SUSPECT_RUNNING,
    NO_FREE_SLOT;

    /** Returns the code used in responses, counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns whether the endpoint serves the target but has no free capacity, so that retrying soon may succeed. */
    public boolean isLackOfCapacity() {
        return switch (this) {
            case COLD_NOT_HOLDER, COLD_FULL, SUSPECT_RUNNING, NO_FREE_SLOT -> true;
            case WRONG_TARGET, EXCLUDED, LEAVING, ZONE_OUT, SERVING_LEASE_ENDED -> false;
        };
    }
}
