package org.wigeongrade.decisions.grouping;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Bounds how many loads from the weight store begin in a window of time, and how many run at once.
 *
 * <p>Invariant: orders that were given may be carried out late, so half of what the store allows is left unused. Not
 * thread safe.
 */
final class LoadCeiling {
    /** The weight store counts loads over windows of this length. */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(5);
    /** Part of the store's rate that is used, so that orders carried out late do not add up beyond it. */
    private static final double USED_PART = 0.5;

    private boolean callersSeen;
    private final Deque<Long> startsNanos = new ArrayDeque<>();

    /** Takes the news that callers send requests; loads before that are not counted by the store. */
    void callersSeen() {
        callersSeen = true;
    }

    /** Returns whether callers send requests, so that a load takes its full time. */
    boolean haveCallersBeenSeen() {
        return callersSeen;
    }

    /** Returns whether so many loads may begin now, given those that run. */
    boolean allows(int loads, int running, double loadsPerSecond, int loadsAtOnce, long nowNanos) {
        if (loads == 0) {
            return true;
        }
        if (!callersSeen) {
            // More loads at once take proportionally longer, so the store is kept busy until callers come.
            return running < loadsAtOnce;
        }
        final boolean room = running == 0 || running + loads <= loadsAtOnce;
        while (!startsNanos.isEmpty() && nowNanos - startsNanos.peekFirst() > WINDOW_NANOS) {
            startsNanos.removeFirst();
        }
        final double perWindow = USED_PART * loadsPerSecond * TimeUnit.NANOSECONDS.toSeconds(WINDOW_NANOS);
        return room && startsNanos.size() + loads <= Math.max(perWindow, loads);
    }

    void started(int loads, long nowNanos) {
        for (int i = 0; i < loads; i++) {
            startsNanos.addLast(nowNanos);
        }
    }
}
