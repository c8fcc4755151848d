package org.wigeongrade.decisions.routing;

import org.wigeongrade.errors.RunStatus;

/**
 * The facts that decide whether a request may be retried.
 *
 * <p>{@code resumable} is true if no part of the response was forwarded yet, or if the next attempt can continue after
 * the forwarded part. {@code possibleRuns} is the count of {@link PossibleRuns}. {@code deadlineNanos} is the caller's
 * deadline on this VM's wait clock. Immutable; safe for use from any thread.
 */
public record RetryFacts(
        RouteTarget target,
        RunStatus lastClaim,
        boolean idempotent,
        boolean resumable,
        int attemptsMade,
        int possibleRuns,
        int maxAttempts,
        long deadlineNanos,
        long nowNanos) {}
