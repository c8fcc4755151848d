package org.wigeongrade.decisions.config;

import java.util.List;
import java.util.Locale;

/** Kinds of objects that operators can query. Immutable; safe for use from any thread. */
public enum ObjectKind {
    CONFIGURATION,
    AVAILABILITY_ZONE,
    MODEL_VERSION,
    POOL,
    GROUP,
    SERVICE,
    ORGANISATION,
    VM,
    REQUEST;

    /** Returns the kind as it is written in declared files and messages, for example {@code model_version}. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Returns the kinds that operators declare, in the order in which they are listed. */
    public static List<ObjectKind> declared() {
        return List.of(AVAILABILITY_ZONE, MODEL_VERSION, POOL, GROUP, SERVICE, ORGANISATION);
    }
}
