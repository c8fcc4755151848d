package org.wigeongrade.decisions.routing;

import org.wigeongrade.errors.RunClaim;

/**
 * What decides whether a request may be tried again.
 *
 * <p>{@code resumable} is true if nothing of the answer was handed on, or the next attempt can continue after what was.
 * {@code deadlineNanos} is the caller's, on this VM's monotonic clock. Immutable; safe for use from any thread.
 */
public record RetryFacts(
        RouteTarget target,
        RunClaim lastClaim,
        boolean idempotent,
        boolean resumable,
        int attemptsMade,
        int maxAttempts,
        long deadlineNanos,
        long nowNanos) {}
