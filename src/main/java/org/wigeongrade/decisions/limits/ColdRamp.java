package org.wigeongrade.decisions.limits;

/**
 * Raises the slots of a cold endpoint by evidence: as many answers completed at warm speed as it has slots double them.
 *
 * <p>Invariant: the slots rise by completed answers only, never by the clock; a cold sign brings them back to the cold
 * slots. Not thread-safe; {@link ShareLedger} guards it.
 */
final class ColdRamp {
    private ShareBound bound;
    private int slots;
    private int warmCompletions;

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

    void coldSign() {
        slots = Math.min(slots, bound.coldSlots());
        warmCompletions = 0;
    }

    void completedWarm(long count) {
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
