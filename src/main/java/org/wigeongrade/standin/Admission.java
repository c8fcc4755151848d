package org.wigeongrade.standin;

/** What the stand-in engine decides about a new request. Immutable; safe for use from any thread. */
sealed interface Admission {
    /** The request was taken. */
    record Taken(Generation generation) implements Admission {}

    /** The request was refused before any of it ran. */
    record Refused(int httpStatus, String reason) implements Admission {}

    /** The VM is down: the connection is closed without an answer. */
    record Down() implements Admission {}
}
