package org.wigeongrade.nodes.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The latest decisions of this VM about requests, for operators who ask why.
 *
 * <p>Invariant: holds {@link #MAX_RECORDS} at most and forgets the oldest first. Thread safe: every method locks this
 * object and calls nothing else.
 */
public final class DecisionRecords {
    /** Number of records kept. */
    public static final int MAX_RECORDS = 8_192;

    private final Deque<DecisionRecord> records = new ArrayDeque<>();

    /** Keeps a record. */
    public synchronized void add(DecisionRecord record) {
        if (records.size() >= MAX_RECORDS) {
            records.removeFirst();
        }
        records.addLast(record);
    }

    /** Returns the records that concern an object, the oldest first, at most {@code limit} of the latest. */
    public synchronized ImmutableList<DecisionRecord> about(String kind, String id, int limit) {
        final Deque<DecisionRecord> found = new ArrayDeque<>();
        for (final DecisionRecord record : records) {
            if (!record.concerns(kind, id)) {
                continue;
            }
            found.addLast(record);
            if (found.size() > limit) {
                found.removeFirst();
            }
        }
        return ImmutableList.copyOf(found);
    }
}
