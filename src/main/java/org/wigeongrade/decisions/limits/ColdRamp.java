package org.wigeongrade.decisions.limits;

/**
 * Raises the slots of a cold endpoint by evidence: as many answers completed at warm speed as it has slots double them.
 *
 * <p>Invariant: the slots rise by completed answers only, never by the clock, and only by answers to work begun under a
 * grant given after the last cold sign: the epoch counts these signs. A cold sign brings the slots back to the cold ones. Not thread-safe; {@link ShareLedger} guards it.
 */
final class ColdRamp {
    private ShareBound bound;
    private int slots;
    private int warmCompletions;
    private long epoch;
    private boolean sawColdSign;

    ColdRamp(ShareBound bound, Warmth warmth) {
        this.bound = bound;
        this.slots = warmth.firstSlots(bound);
    }

    int slots() {
        return slots;
    }

    ShareBound bound() {
        return bound;
    }

    boolean isCold() {
        return bound.coldSlots() < bound.slots() && slots <= bound.coldSlots();
    }

    void setBound(ShareBound newBound) {
        boolean wasFull = slots >= bound.slots();
        bound = newBound;
        slots = wasFull ? newBound.slots() : Math.min(slots, newBound.slots());
    }

    long epoch() {
        return epoch;
    }

    void coldSign() {
        slots = Math.min(slots, bound.coldSlots());
        warmCompletions = 0;
        epoch++;
        sawColdSign = true;
    }

    /** Takes in the evidence of a report; {@code newWarmCompletions} are those that no earlier report told of. */
    void report(ShareReport report, long newWarmCompletions) {
        adoptEpoch(report.epoch());
        if (report.coldSignEpoch() >= epoch) {
            coldSign();
            return;
        }
        if (report.epoch() == epoch) {
            completedWarm(newWarmCompletions);
        }
    }

    /** Takes over the epoch of an older leader; signs that this leader took in itself come after it. */
    private void adoptEpoch(long reported) {
        if (reported > epoch) {
            epoch = sawColdSign ? reported + 1 : reported;
        }
    }

    private void completedWarm(long count) {
        if (slots >= bound.slots()) {
            return;
        }
        warmCompletions += (int) Math.min(count, bound.slots());
        if (warmCompletions < slots) {
            return;
        }
        warmCompletions = 0;
        slots = (int) Math.min(bound.slots(), Math.max(1L, slots * 2L));
    }
}
