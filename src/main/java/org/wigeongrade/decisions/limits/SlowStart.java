package org.wigeongrade.decisions.limits;

/**
 * Slow start of an endpoint: the slots of a cold endpoint double each time that as many responses as it has slots
 * complete at warm speed.
 *
 * <p>A cold sign is evidence that the endpoint is cold, such as a response that says so or a restart. Invariant: only
 * completed responses raise the slots, never the passage of time, and only responses to work started under a grant
 * given after the last cold sign; the epoch counts the cold signs. A cold sign lowers the slots to the cold slots. Not
 * thread-safe; {@link ShareAllocator} guards it.
 */
final class SlowStart {
    private ResourceLimit limit;
    private int slots;
    private int warmCompletions;
    private long epoch;
    private boolean sawColdSign;

    SlowStart(ResourceLimit limit, WarmupState initialState) {
        this.limit = limit;
        this.slots = initialState.initialSlots(limit);
    }

    int slots() {
        return slots;
    }

    ResourceLimit limit() {
        return limit;
    }

    boolean isCold() {
        return limit.coldSlots() < limit.slots() && slots <= limit.coldSlots();
    }

    void setLimit(ResourceLimit newLimit) {
        boolean wasFull = slots >= limit.slots();
        limit = newLimit;
        slots = wasFull ? newLimit.slots() : Math.min(slots, newLimit.slots());
    }

    long epoch() {
        return epoch;
    }

    void applyColdSign() {
        slots = Math.min(slots, limit.coldSlots());
        warmCompletions = 0;
        epoch++;
        sawColdSign = true;
    }

    /**
     * Applies the warm completions or the cold sign of a report; {@code newWarmCompletions} are those that no earlier
     * report included.
     */
    void applyReport(ShareReport report, long newWarmCompletions) {
        adoptEpoch(report.epoch());
        if (report.coldSignEpoch() >= epoch) {
            applyColdSign();
            return;
        }
        if (report.epoch() == epoch) {
            countWarmCompletions(newWarmCompletions);
        }
    }

    /** Adopts the epoch of a previous leader; cold signs that this leader has already recorded itself come after it. */
    private void adoptEpoch(long reportedEpoch) {
        if (reportedEpoch > epoch) {
            epoch = sawColdSign ? reportedEpoch + 1 : reportedEpoch;
        }
    }

    private void countWarmCompletions(long count) {
        if (slots >= limit.slots()) {
            return;
        }
        warmCompletions += (int) Math.min(count, limit.slots());
        if (warmCompletions < slots) {
            return;
        }
        warmCompletions = 0;
        slots = (int) Math.min(limit.slots(), Math.max(1L, slots * 2L));
    }
}
