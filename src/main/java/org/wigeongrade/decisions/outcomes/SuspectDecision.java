package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.ids.PromptPartId;

/** Whether a request may be sent, given what is known of its digest. Immutable; safe for use from any thread. */
public sealed interface SuspectDecision {
    /** The request is not a suspect: no endpoint is known to have been lost while running it. */
    record Clear() implements SuspectDecision {}

    /** The request may crash its endpoint; this VM may run it, one at a time and on its own. */
    record RunAlone() implements SuspectDecision {}

    /** The request may crash its endpoint and this VM may not run it yet; it was not run. */
    record RetryLater(long retryAfterMs) implements SuspectDecision {}

    /** A part of the request's prompt crashes endpoints, so that it is refused fleet-wide; it was not run. */
    record PartQuarantined(PromptPartId part) implements SuspectDecision {}

    /** The request is refused fleet-wide; it was not run. */
    record Quarantined() implements SuspectDecision {}
}
