package org.wigeongrade.decisions.outcomes;

/** Whether a request may be sent, given what is known of its digest. Immutable; safe for use from any thread. */
public sealed interface SuspectVerdict {
    /** The request is not a suspect: no endpoint is known to have been lost while running it. */
    record Clear() implements SuspectVerdict {}

    /** The request may crash its endpoint; this VM may run it, one at a time and on its own. */
    record RunAlone() implements SuspectVerdict {}

    /** The request may crash its endpoint and this VM may not run it yet; it was not run. */
    record ComeBack(long retryAfterMs) implements SuspectVerdict {}

    /** The request is refused fleet-wide; it was not run. */
    record Quarantined() implements SuspectVerdict {}
}
