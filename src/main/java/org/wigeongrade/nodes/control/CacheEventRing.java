package org.wigeongrade.nodes.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wigeongrade.nodes.thrift.CacheEventRecord;

/**
 * The latest cache events of engines, for entry VMs to pull.
 *
 * <p>Invariant: positions grow by one for each event; an entry VM that fell behind the oldest kept event sees a gap in
 * the engines' own sequences and drops what it knew. Thread safe: every method locks this object.
 */
final class CacheEventRing {
    private static final int MAX_EVENTS = 1_024;

    private final Deque<CacheEventRecord> events = new ArrayDeque<>();
    private long nextPosition;

    synchronized void add(CacheEventRecord event) {
        events.addLast(event);
        nextPosition++;
        if (events.size() > MAX_EVENTS) {
            events.removeFirst();
        }
    }

    /** Returns the kept events from a position on. */
    synchronized List<CacheEventRecord> since(long position) {
        final long oldest = nextPosition - events.size();
        final long skipped = Math.max(0, position - oldest);
        return new ArrayList<>(events.stream().skip(skipped).toList());
    }

    /** Returns the position after the newest event. */
    synchronized long position() {
        return nextPosition;
    }
}
