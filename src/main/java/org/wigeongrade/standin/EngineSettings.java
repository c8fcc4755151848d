package org.wigeongrade.standin;

/**
 * How one stand-in engine VM behaves.
 *
 * <p>{@code coldRequests} is the number of completed answers after which a cold engine is warm. {@code coldGraceMs} is
 * the time after turning cold in which surplus load does not make it fail. {@code downMs} is how long a failed VM stays
 * silent before it is back under a new incarnation; 0 ends the process instead. Immutable; safe for use from any thread.
 */
record EngineSettings(
        String vm,
        String address,
        String zone,
        String domain,
        int accelerators,
        boolean fencingChecked,
        long loadMs,
        int capacity,
        int coldCapacity,
        int coldRequests,
        long coldGraceMs,
        long downMs,
        long prefillMs,
        long tokenMs,
        long reportLagMs,
        int cacheBlocks,
        long seed) {}
