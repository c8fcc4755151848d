package org.wigeongrade.decisions.routing;

import java.util.Locale;

/** Why the chosen endpoint was preferred; the codes are documented in docs/RULES-routing.md. */
public enum ChoiceReason {
    ONLY_CANDIDATE,
    CACHED_PREFIX,
    PREFIX_HOME,
    LESS_LOADED_OF_TWO,
    SAME_ZONE,
    LEAST_LOADED,
    NEXT_IN_TURN;

    /** Returns the code used in responses, counters and docs. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
