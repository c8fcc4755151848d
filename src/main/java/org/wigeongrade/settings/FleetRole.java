package org.wigeongrade.settings;

import java.util.Locale;

/** What a process of a fleet that finds itself through seeds does. Immutable; safe for use from any thread. */
public enum FleetRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Keeps the state, hears endpoints and operators. */
    CONTROL;

    /** Reads a role in any case; throws {@link IllegalArgumentException} that lists the roles. */
    public static FleetRole of(String text) {
        try {
            return valueOf(text.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("'" + text + "' is not a role; expected entry or control", e);
        }
    }
}
