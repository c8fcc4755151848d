package org.wigeongrade.decisions.limits;

/** What asking for part of a share gave. Immutable; safe for use from any thread. */
public sealed interface TakeResult {
    /** The work may begin; the slot is given back when it ends. */
    record Taken(Slot slot) implements TakeResult {}

    /** The work may not begin now; nothing was taken. */
    record ComeBack(long retryAfterMs) implements TakeResult {}
}
