package org.wigeongrade.nodes.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.wigeongrade.nodes.thrift.CacheEventRecord;

/**
 * A bounded buffer of the latest cache events of engines, which entry VMs pull.
 *
 * <p>Invariant: the position grows by one for each event. An entry VM that fell behind the oldest buffered event sees a
 * gap in the sequence numbers of the engines and drops what it knew of their caches. Thread safe: every method locks
 * this object.
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

    /** Returns the buffered events from a position on. */
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
