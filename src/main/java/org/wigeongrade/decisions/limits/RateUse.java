package org.wigeongrade.decisions.limits;

import com.google.common.primitives.Ints;
import java.util.concurrent.TimeUnit;

/**
 * A token bucket with a count of what was asked of it since the last report. Not thread-safe; {@link ShareHolder} guards
 * it.
 */
final class RateUse {
    /** Time to come back while the leader has granted nothing, in milliseconds. */
    private static final long NO_SHARE_COME_BACK_MS = 1_000;

    /** Shortest span from which a rate is worked out, in nanoseconds. */
    private static final long LEAST_COUNTED_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ShareKind kind;
    private final TokenBucket bucket;
    private long askedSinceReport;
    private long countedSinceNanos;
    private boolean counting;

    RateUse(ShareKind kind) {
        this.kind = kind;
        this.bucket = new TokenBucket(kind.periodNanos(), kind.burstNanos());
    }

    void setRate(int perPeriod, long nowNanos) {
        bucket.setRate(perPeriod, nowNanos);
    }

    boolean tryTake(long amount, long nowNanos) {
        if (!counting) {
            counting = true;
            countedSinceNanos = nowNanos;
        }
        askedSinceReport += amount;
        return bucket.tryTake(amount, nowNanos);
    }

    long comeBackMs(long nowNanos) {
        long comeBackMs = bucket.comeBackMs(nowNanos);
        return comeBackMs < 0 ? NO_SHARE_COME_BACK_MS : Math.max(1, comeBackMs);
    }

    void giveBack(long amount) {
        bucket.giveBack(amount);
    }

    /** Returns the rate that was asked for since the last report, in units of a period. */
    int wanted(long nowNanos) {
        long elapsedNanos = Math.max(LEAST_COUNTED_NANOS, nowNanos - countedSinceNanos);
        double wanted = (double) askedSinceReport * kind.periodNanos() / elapsedNanos;
        askedSinceReport = 0;
        countedSinceNanos = nowNanos;
        return Ints.saturatedCast((long) Math.ceil(wanted));
    }
}
