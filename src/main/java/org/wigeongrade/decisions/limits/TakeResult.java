package org.wigeongrade.decisions.limits;

/** The result of taking from a share. Immutable; safe for use from any thread. */
public sealed interface TakeResult {
    /** The work may start; the slot is released when it ends. */
    record Taken(Slot slot) implements TakeResult {}

    /** The work may not start now; nothing was taken. */
    record RetryLater(long retryAfterMs) implements TakeResult {}
}
