package org.wigeongrade.nodes.entry;

import com.google.common.collect.ImmutableList;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The latest decisions of this VM about requests, with their reasons, for operators to inspect.
 *
 * <p>Invariant: holds at most {@link #MAX_RECORDS} records and drops the oldest first. Thread safe: every method locks
 * this object and calls nothing else.
 */
public final class DecisionRecords {
    /** The maximum number of records. */
    public static final int MAX_RECORDS = 8_192;

    private final Deque<DecisionRecord> records = new ArrayDeque<>();

    /** Adds a record, and drops the oldest one if the maximum is reached. */
    public synchronized void add(DecisionRecord record) {
        if (records.size() >= MAX_RECORDS) {
            records.removeFirst();
        }
        records.addLast(record);
    }

    /** Returns the latest records about an object, at most {@code limit}, oldest first. */
    public synchronized ImmutableList<DecisionRecord> find(String kind, String id, int limit) {
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
