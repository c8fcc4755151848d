package org.wigeongrade.decisions.limits;

import java.util.concurrent.TimeUnit;

/**
 * Limits a rate: refills evenly with {@code tokensPerPeriod} tokens each period, up to the burst size.
 *
 * <p>Invariant: over any period the amounts taken exceed the rate times that period by at most the burst size plus one
 * request. One request may take more than the bucket holds, since its token count is known only when it ends; later
 * requests wait until the deficit is refilled.
 *
 * <p>Not thread-safe; {@link HeldShares} guards it. Times are in nanoseconds.
 */
final class TokenBucket {
    private final long periodNanos;
    private final long burstNanos;
    private long tokensPerPeriod;
    private double level = 1;
    private long updatedNanos;

    TokenBucket(long periodNanos, long burstNanos) {
        this.periodNanos = periodNanos;
        this.burstNanos = burstNanos;
    }

    void setRate(long newTokensPerPeriod, long nowNanos) {
        refill(nowNanos);
        tokensPerPeriod = newTokensPerPeriod;
        level = Math.min(level, burst());
    }

    boolean tryTake(long amount, long nowNanos) {
        refill(nowNanos);
        if (level < 1) {
            return false;
        }
        level -= amount;
        return true;
    }

    /** Returns an unused amount; a negative amount means that more was used than taken. */
    void refund(long amount) {
        level = Math.min(burst(), level + amount);
    }

    /** Returns the time until {@link #tryTake} can succeed, in milliseconds, rounded up; -1 if the rate is 0. */
    long retryAfterMs(long nowNanos) {
        refill(nowNanos);
        if (tokensPerPeriod == 0) {
            return -1;
        }
        double waitNanos = Math.max(0, 1 - level) * periodNanos / tokensPerPeriod;
        return (long) Math.ceil(waitNanos / TimeUnit.MILLISECONDS.toNanos(1));
    }

    private void refill(long nowNanos) {
        if (tokensPerPeriod > 0) {
            long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
            level = Math.min(burst(), level + (double) tokensPerPeriod * elapsedNanos / periodNanos);
        }
        updatedNanos = nowNanos;
    }

    private double burst() {
        return Math.max(1, (double) tokensPerPeriod * burstNanos / periodNanos);
    }
}
