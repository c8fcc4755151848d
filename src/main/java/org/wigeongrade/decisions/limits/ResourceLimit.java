package org.wigeongrade.decisions.limits;

/**
 * The limit of one resource: {@code slots} when warm, {@code coldSlots} while cold (equal to {@code slots} for a
 * resource that has no cold start). {@code longestRunNanos} is the longest time that one piece of work may run.
 * Immutable; safe for use from any thread.
 */
public record ResourceLimit(int slots, int coldSlots, long longestRunNanos) {
    public ResourceLimit {
        if (coldSlots < Math.min(1, slots) || coldSlots > slots) {
            throw new IllegalArgumentException("invalid resource limit: " + coldSlots + " cold slots of " + slots
                    + " slots; declare 1 <= cold capacity <= capacity");
        }
    }

    /** Returns the limit of a resource that has no cold start. */
    public static ResourceLimit of(int slots, long longestRunNanos) {
        return new ResourceLimit(slots, slots, longestRunNanos);
    }
}
