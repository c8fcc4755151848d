package org.wigeongrade.decisions.outcomes;

/**
 * A request that is not sent, because it was in flight at several endpoints that were lost. Immutable; safe for use from
 * any thread.
 *
 * @param untilNanos when a trial may be granted, on the monotonic clock of the process that holds this record
 * @param failedTrials trials of the request that crashed another endpoint
 * @param onTrial whether the entry node that this record is for may send the request once
 */
public record QuarantinedRequest(String digest, long untilNanos, int failedTrials, boolean onTrial) {}
