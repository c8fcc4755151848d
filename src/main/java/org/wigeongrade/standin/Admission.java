package org.wigeongrade.standin;

/** The stand-in engine's decision on a new request. Immutable; safe for use from any thread. */
sealed interface Admission {
    /** The request was admitted and will run as {@code generation}. */
    record Admitted(Generation generation) implements Admission {}

    /** The request was refused before any of it ran. */
    record Refused(int httpStatus, String reason) implements Admission {}

    /** The VM is down: the connection is closed without a response. */
    record Down() implements Admission {}
}
