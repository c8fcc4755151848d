package org.wigeongrade.nodes.log;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.wigeongrade.clock.LeaseTime;

/**
 * Readings of both clocks, from which the start of a lease follows for a time on the wait clock.
 *
 * <p>Invariants: readings are in the order of their times and reach back one lease; a start that is returned is never
 * later than the one that the lease clock would have shown. Not thread safe.
 */
final class LeaseReadings {
    private record Reading(long nanos, LeaseTime time) {}

    private final long leaseNanos;
    private final Deque<Reading> readings = new ArrayDeque<>();

    LeaseReadings(long leaseNanos) {
        this.leaseNanos = leaseNanos;
    }

    /**
     * Adds a reading.
     *
     * @param time read before {@code nanos}, so that a suspension between the two does not count for earlier leases
     */
    void record(LeaseTime time, long nanos) {
        while (!readings.isEmpty() && nanos - readings.peekFirst().nanos() > leaseNanos) {
            readings.removeFirst();
        }
        readings.addLast(new Reading(nanos, time));
    }

    /** Returns when a lease ends that starts at a time on the wait clock; empty if it has surely ended. */
    Optional<LeaseTime> deadlineOf(long startNanos) {
        final Iterator<Reading> latestFirst = readings.descendingIterator();
        while (latestFirst.hasNext()) {
            final Reading reading = latestFirst.next();
            final long sinceNanos = startNanos - reading.nanos();
            if (sinceNanos >= 0) {
                return Optional.of(reading.time().plusNanos(sinceNanos + leaseNanos));
            }
        }
        return Optional.empty();
    }
}
