package org.wigeongrade.decisions.limits;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The share of one limited resource that this entry VM holds.
 *
 * <p>Invariant: no slot is handed out after the deadline or while all granted slots are in use. Not thread-safe;
 * {@link HeldShares} guards it.
 */
final class HeldShare {
    private static final long IN_FLIGHT_RETRY_AFTER_MS = 500;

    private final ShareKey key;
    private final Set<Long> inUse = new HashSet<>();
    private long nextSlotNumber;
    private long sequence;
    private long oldestAcceptedSequence;
    private int granted;
    private int coldSlots;
    private long deadlineNanos = Long.MIN_VALUE;
    private int refusedSinceReport;
    private int peakInUseSinceReport;
    private long warmCompletions;
    private long coldSignEpoch = ShareReport.NO_COLD_SIGN;
    private long epoch;
    private long firstSlotOfEpoch;
    private final Optional<RateLimiter> rateLimiter;

    HeldShare(ShareKey key) {
        this.key = key;
        this.rateLimiter = key.kind().isRate() ? Optional.of(new RateLimiter(key.kind())) : Optional.empty();
    }

    TakeResult take(long amount, long nowNanos) {
        if (rateLimiter.isPresent()) {
            return takeRate(rateLimiter.get(), amount, nowNanos);
        }
        if (canAcquire(nowNanos)) {
            return new TakeResult.Taken(acquire());
        }
        countRefusal();
        return new TakeResult.RetryLater(IN_FLIGHT_RETRY_AFTER_MS);
    }

    private TakeResult takeRate(RateLimiter limiter, long amount, long nowNanos) {
        limiter.setRate(usableSlots(nowNanos), nowNanos);
        if (limiter.tryTake(amount, nowNanos)) {
            return new TakeResult.Taken(new Slot(key, nextSlotNumber++, amount, deadlineNanos));
        }
        return new TakeResult.RetryLater(limiter.retryAfterMs(nowNanos));
    }

    /** Returns an unused amount to the rate limiter; a negative amount means that more was used than taken. */
    void refund(long amount) {
        rateLimiter.ifPresent(limiter -> limiter.refund(amount));
    }

    boolean canAcquire(long nowNanos) {
        return inUse.size() < usableSlots(nowNanos);
    }

    int usableSlots(long nowNanos) {
        return deadlineNanos == Long.MIN_VALUE || nowNanos - deadlineNanos >= 0 ? 0 : granted;
    }

    int inUse() {
        return inUse.size();
    }

    Slot acquire() {
        long number = nextSlotNumber++;
        inUse.add(number);
        peakInUseSinceReport = Math.max(peakInUseSinceReport, inUse.size());
        return new Slot(key, number, 1, deadlineNanos);
    }

    void countRefusal() {
        refusedSinceReport++;
    }

    boolean release(Slot slot) {
        return inUse.remove(slot.number());
    }

    /** Counts a response at warm speed, unless its work started before the last cold sign was known. */
    void recordWarmCompletion(Slot slot) {
        if (slot.number() >= firstSlotOfEpoch) {
            warmCompletions++;
        }
    }

    /** Treats a cold response as a cold sign, unless its work started before the last cold sign was known. */
    void recordColdCompletion(Slot slot) {
        if (slot.number() >= firstSlotOfEpoch) {
            applyColdSign();
        }
    }

    /** Lowers the share to its cold slots and ignores grants made before the leader knew of the cold sign. */
    void applyColdSign() {
        coldSignEpoch = epoch;
        granted = Math.min(granted, coldSlots);
        oldestAcceptedSequence = sequence + 1;
    }

    void relinquish() {
        granted = 0;
        coldSlots = 0;
        oldestAcceptedSequence = sequence + 1;
    }

    /**
     * Builds the next report; {@code newSequence} must be greater than that of every earlier report of this process.
     */
    ShareReport report(long newSequence, long nowNanos) {
        sequence = newSequence;
        oldestAcceptedSequence = sequence;
        int usableNow = usableSlots(nowNanos);
        int wanted = rateLimiter.map(limiter -> limiter.wanted(nowNanos)).orElseGet(this::wantedSlots);
        peakInUseSinceReport = inUse.size();
        refusedSinceReport = 0;
        int usableColdSlots = usableNow == 0 ? 0 : coldSlots;
        return new ShareReport(
                key, sequence, usableNow, usableColdSlots, inUse.size(), wanted, epoch, warmCompletions, coldSignEpoch);
    }

    private void startEpoch(long newEpoch) {
        if (newEpoch != epoch) {
            epoch = newEpoch;
            firstSlotOfEpoch = nextSlotNumber;
            warmCompletions = 0;
        }
    }

    private int wantedSlots() {
        return Math.max(peakInUseSinceReport, inUse.size()) + refusedSinceReport;
    }

    boolean applyGrant(ShareGrant grant, long newDeadlineNanos) {
        if (grant.reportSequence() < oldestAcceptedSequence) {
            return false;
        }
        startEpoch(grant.epoch());
        granted = grant.slots();
        coldSlots = grant.coldSlots();
        deadlineNanos = newDeadlineNanos;
        return true;
    }
}
