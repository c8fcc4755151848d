package org.wigeongrade.decisions.published;

/** What became of a configuration that was handed in. Immutable; safe for use from any thread. */
public enum PublishOutcome {
    /** It has the highest version and is in force. */
    IN_FORCE,
    /** An equal or newer one is in force; nothing changed. */
    UNCHANGED,
    /** The version in force has another content; nothing changed. */
    VERSION_TAKEN
}
