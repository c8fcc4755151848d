package org.wigeongrade.decisions.outcomes;

import org.wigeongrade.ids.PromptPartId;

/**
 * A prompt part whose requests are not sent, because they crash endpoints. Immutable; safe for use from any thread.
 *
 * @param untilNanos when a trial may be granted, on the monotonic clock of the process that holds this record
 * @param failedTrials trials of the part that crashed another endpoint
 * @param onTrial whether the entry node that this record is for may send one request with the part
 */
public record PartQuarantine(PromptPartId part, long untilNanos, int failedTrials, boolean onTrial) {}
