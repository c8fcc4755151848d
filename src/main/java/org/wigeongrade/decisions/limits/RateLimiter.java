package org.wigeongrade.decisions.limits;

import com.google.common.primitives.Ints;
import java.util.concurrent.TimeUnit;

/**
 * A token bucket that also measures the demand since the last report. Not thread-safe; {@link HeldShares} guards it.
 */
final class RateLimiter {
    /** Retry delay while the leader has granted nothing, in milliseconds. */
    private static final long NO_SHARE_RETRY_AFTER_MS = 1_000;

    /** Shortest period over which a rate is computed, in nanoseconds. */
    private static final long MIN_MEASURED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ShareKind kind;
    private final TokenBucket bucket;
    private long requestedSinceReport;
    private long measuredSinceNanos;
    private boolean measuring;

    RateLimiter(ShareKind kind) {
        this.kind = kind;
        this.bucket = new TokenBucket(kind.periodNanos(), kind.burstNanos());
    }

    void setRate(int perPeriod, long nowNanos) {
        bucket.setRate(perPeriod, nowNanos);
    }

    boolean tryTake(long amount, long nowNanos) {
        if (!measuring) {
            measuring = true;
            measuredSinceNanos = nowNanos;
        }
        requestedSinceReport += amount;
        return bucket.tryTake(amount, nowNanos);
    }

    long retryAfterMs(long nowNanos) {
        long bucketRetryAfterMs = bucket.retryAfterMs(nowNanos);
        return bucketRetryAfterMs < 0 ? NO_SHARE_RETRY_AFTER_MS : Math.max(1, bucketRetryAfterMs);
    }

    void refund(long amount) {
        bucket.refund(amount);
    }

    /** Returns the rate requested since the last report, in units per period. */
    int wanted(long nowNanos) {
        long elapsedNanos = Math.max(MIN_MEASURED_NANOS, nowNanos - measuredSinceNanos);
        double wanted = (double) requestedSinceReport * kind.periodNanos() / elapsedNanos;
        requestedSinceReport = 0;
        measuredSinceNanos = nowNanos;
        return Ints.saturatedCast((long) Math.ceil(wanted));
    }
}
