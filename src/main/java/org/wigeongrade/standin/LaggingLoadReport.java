package org.wigeongrade.standin;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The load report of a stand-in engine: the load as it was {@code lagNanos} ago. Not safe for concurrent use; the
 * engine's lock guards it.
 */
final class LaggingLoadReport {
    /** Load at one time. */
    record Sample(long atNanos, int running, int waiting) {}

    private final long lagNanos;
    private final Deque<Sample> samples = new ArrayDeque<>();
    private Sample reported = new Sample(0, 0, 0);

    LaggingLoadReport(long lagNanos) {
        this.lagNanos = lagNanos;
    }

    void record(long nowNanos, int running, int waiting) {
        samples.addLast(new Sample(nowNanos, running, waiting));
        reportedAt(nowNanos);
    }

    Sample reportedAt(long nowNanos) {
        while (!samples.isEmpty() && samples.getFirst().atNanos() - (nowNanos - lagNanos) <= 0) {
            reported = samples.removeFirst();
        }
        return reported;
    }
}
