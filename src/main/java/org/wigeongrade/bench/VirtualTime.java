package org.wigeongrade.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their virtual time, in nanoseconds; events with equal times run in the order in which
 * they were added. Not thread-safe.
 */
public final class VirtualTime {
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::number));
    private long nowNanos;
    private long nextNumber;

    private record Event(long atNanos, long number, Runnable action) {}

    public long nowNanos() {
        return nowNanos;
    }

    /** Schedules the action to run after a delay in nanoseconds; a negative delay counts as 0. */
    public void after(long delayNanos, Runnable action) {
        events.add(new Event(nowNanos + Math.max(0, delayNanos), nextNumber++, action));
    }

    /** Runs all events due up to and including {@code endNanos}, then sets the time to {@code endNanos}. */
    public void runUntil(long endNanos) {
        while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
            Event event = events.poll();
            nowNanos = event.atNanos();
            event.action().run();
        }
        nowNanos = endNanos;
    }
}
