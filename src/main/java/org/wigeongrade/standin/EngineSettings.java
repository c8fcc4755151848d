package org.wigeongrade.standin;

/**
 * Settings of one stand-in engine VM.
 *
 * <p>{@code coldRequests} is the number of completed responses after which a cold engine becomes warm. {@code
 * coldGraceMs} is the time after turning cold during which load above {@code coldCapacity} does not make the VM fail.
 * {@code downMs} is the time for which a failed VM stays down before it restarts with a new incarnation; if it is 0,
 * the process ends instead. Immutable; safe for use from any thread.
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
