package org.wigeongrade.decisions.limits;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * What one entry VM holds of one bounded thing.
 *
 * <p>Invariant: no slot is given out past the deadline or while as many slots are in use as may be. Not thread-safe;
 * {@link ShareHolder} guards it.
 */
final class HeldShare {
    private static final long IN_FLIGHT_COME_BACK_MS = 500;

    private final ShareKey key;
    private final Set<Long> inUse = new HashSet<>();
    private long nextSlotNumber;
    private long sequence;
    private long oldestAnswerableSequence;
    private int granted;
    private int coldSlots;
    private long deadlineNanos = Long.MIN_VALUE;
    private int refusedSinceReport;
    private int peakInUseSinceReport;
    private long warmCompletions;
    private long coldSignEpoch = ShareReport.NO_COLD_SIGN;
    private long epoch;
    private long firstSlotOfEpoch;
    private final Optional<RateUse> rate;

    HeldShare(ShareKey key) {
        this.key = key;
        this.rate = key.kind().isRate() ? Optional.of(new RateUse(key.kind())) : Optional.empty();
    }

    TakeResult take(long amount, long nowNanos) {
        if (rate.isPresent()) {
            return takeRate(rate.get(), amount, nowNanos);
        }
        if (mayAcquire(nowNanos)) {
            return new TakeResult.Taken(acquire());
        }
        refused();
        return new TakeResult.ComeBack(IN_FLIGHT_COME_BACK_MS);
    }

    private TakeResult takeRate(RateUse use, long amount, long nowNanos) {
        use.setRate(usable(nowNanos), nowNanos);
        if (use.tryTake(amount, nowNanos)) {
            return new TakeResult.Taken(new Slot(key, nextSlotNumber++, amount, deadlineNanos));
        }
        return new TakeResult.ComeBack(use.comeBackMs(nowNanos));
    }

    /** Gives back an amount of a rate that was not used; negative if more was used than taken. */
    void giveBackAmount(long amount) {
        rate.ifPresent(use -> use.giveBack(amount));
    }

    boolean mayAcquire(long nowNanos) {
        return inUse.size() < usable(nowNanos);
    }

    int usable(long nowNanos) {
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

    void refused() {
        refusedSinceReport++;
    }

    boolean release(Slot slot) {
        return inUse.remove(slot.number());
    }

    /** Counts an answer at warm speed, unless its work began before the last cold sign was known. */
    void completedWarm(Slot slot) {
        if (slot.number() >= firstSlotOfEpoch) {
            warmCompletions++;
        }
    }

    /** Takes a cold answer as a sign, unless its work began before the last cold sign was known. */
    void completedCold(Slot slot) {
        if (slot.number() >= firstSlotOfEpoch) {
            coldSign();
        }
    }

    /** Drops to what may be used in a cold start and ignores grants that were given before the leader knew of it. */
    void coldSign() {
        coldSignEpoch = epoch;
        granted = Math.min(granted, coldSlots);
        oldestAnswerableSequence = sequence + 1;
    }

    void giveBack() {
        granted = 0;
        coldSlots = 0;
        oldestAnswerableSequence = sequence + 1;
    }

    /** Builds the next report; {@code newSequence} is larger than that of every earlier report of this process. */
    ShareReport report(long newSequence, long nowNanos) {
        sequence = newSequence;
        oldestAnswerableSequence = sequence;
        int usable = usable(nowNanos);
        int wanted = rate.map(use -> use.wanted(nowNanos)).orElseGet(this::wantedSlots);
        peakInUseSinceReport = inUse.size();
        refusedSinceReport = 0;
        int usableCold = usable == 0 ? 0 : coldSlots;
        return new ShareReport(
                key, sequence, usable, usableCold, inUse.size(), wanted, epoch, warmCompletions, coldSignEpoch);
    }

    private void beginEpoch(long newEpoch) {
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
        if (grant.reportSequence() < oldestAnswerableSequence) {
            return false;
        }
        beginEpoch(grant.epoch());
        granted = grant.slots();
        coldSlots = grant.coldSlots();
        deadlineNanos = newDeadlineNanos;
        return true;
    }
}
