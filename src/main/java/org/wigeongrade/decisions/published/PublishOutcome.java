package org.wigeongrade.decisions.published;

/** The result of publishing a configuration. Immutable; safe for use from any thread. */
public enum PublishOutcome {
    /** The configuration has the highest version and is now in force. */
    IN_FORCE,
    /** The same configuration or a newer version is in force; nothing changed. */
    UNCHANGED,
    /** The version in force is the same but its content differs; nothing changed. */
    VERSION_TAKEN
}
