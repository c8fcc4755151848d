package org.wigeongrade.decisions.limits;

import java.util.concurrent.TimeUnit;

/**
 * Bounds a rate: fills evenly with {@code perPeriod} tokens each period, up to the burst.
 *
 * <p>Invariant: over any span the amounts taken exceed the rate times the span by at most the burst plus one taking. One
 * taking may be larger than the level, as a request's tokens are known only when it ends; the debt is waited out.
 *
 * <p>Not thread-safe; {@link ShareHolder} guards it. Times are in nanoseconds.
 */
final class TokenBucket {
    private final long periodNanos;
    private final long burstNanos;
    private long perPeriod;
    private double level = 1;
    private long updatedNanos;

    TokenBucket(long periodNanos, long burstNanos) {
        this.periodNanos = periodNanos;
        this.burstNanos = burstNanos;
    }

    void setRate(long newPerPeriod, long nowNanos) {
        refill(nowNanos);
        perPeriod = newPerPeriod;
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

    /** Gives back an amount that was not used; negative if more was used than taken. */
    void giveBack(long amount) {
        level = Math.min(burst(), level + amount);
    }

    /** Returns the time until a taking can succeed, in milliseconds, rounded up; -1 if the rate is 0. */
    long comeBackMs(long nowNanos) {
        refill(nowNanos);
        if (perPeriod == 0) {
            return -1;
        }
        double waitNanos = Math.max(0, 1 - level) * periodNanos / perPeriod;
        return (long) Math.ceil(waitNanos / TimeUnit.MILLISECONDS.toNanos(1));
    }

    private void refill(long nowNanos) {
        if (perPeriod > 0) {
            long elapsedNanos = Math.max(0, nowNanos - updatedNanos);
            level = Math.min(burst(), level + (double) perPeriod * elapsedNanos / periodNanos);
        }
        updatedNanos = nowNanos;
    }

    private double burst() {
        return Math.max(1, (double) perPeriod * burstNanos / periodNanos);
    }
}
