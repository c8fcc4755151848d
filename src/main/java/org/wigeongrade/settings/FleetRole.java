package org.wigeongrade.settings;

import java.util.Locale;

/**
 * Role of a node in a fleet whose nodes find each other through seed addresses. Immutable; safe for use from any
 * thread.
 */
public enum FleetRole {
    /** Serves callers' requests. */
    ENTRY,
    /** Keeps the replicated state and serves endpoints and operators. */
    CONTROL;

    /**
     * Parses a role, ignoring case; throws an {@link IllegalArgumentException} that lists the roles if it is unknown.
     */
    public static FleetRole of(String text) {
        try {
            return valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not a role; expected entry or control", e);
        }
    }
}
