package org.wigeongrade.nodes.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Predicate;
import org.wigeongrade.decisions.log.LogEntry;
import org.wigeongrade.decisions.log.LogMessage;

/**
 * The queue of messages to one peer.
 *
 * <p>Invariants: the queue never exceeds its capacity: a full queue drops its oldest heartbeat, or its oldest message
 * if it holds no heartbeat; it holds at most one snapshot chunk. Thread safe; this class acquires no lock but its own.
 */
final class PeerQueue {
    private static final int CAPACITY_MESSAGES = 256;
    private static final int MAX_BATCH_BYTES = 1024 * 1024;
    private static final int OVERHEAD_BYTES = 64;

    private final ReentrantLock lock = new ReentrantLock();
    private final Condition changed = lock.newCondition();
    private final Deque<LogMessage> messages = new ArrayDeque<>();
    private boolean closed;

    void add(LogMessage message) {
        lock.lock();
        try {
            makeRoomFor(message);
            messages.addLast(message);
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits at most {@code waitMs} for messages and removes a batch of them; returns an empty list if none arrived in
     * time or the queue was closed.
     */
    List<LogMessage> take(long waitMs) throws InterruptedException {
        lock.lock();
        try {
            long remainingNanos = TimeUnit.MILLISECONDS.toNanos(waitMs);
            while (messages.isEmpty() && !closed && remainingNanos > 0) {
                remainingNanos = changed.awaitNanos(remainingNanos);
            }
            return removeBatch();
        } finally {
            lock.unlock();
        }
    }

    void clear() {
        lock.lock();
        try {
            messages.clear();
        } finally {
            lock.unlock();
        }
    }

    void close() {
        lock.lock();
        try {
            closed = true;
            changed.signalAll();
        } finally {
            lock.unlock();
        }
    }

    boolean isClosed() {
        lock.lock();
        try {
            return closed;
        } finally {
            lock.unlock();
        }
    }

    private void makeRoomFor(LogMessage message) {
        if (message instanceof LogMessage.SnapshotChunk) {
            removeFirst(queued -> queued instanceof LogMessage.SnapshotChunk);
        }
        boolean full = messages.size() >= CAPACITY_MESSAGES;
        if (full && !removeFirst(PeerQueue::isHeartbeat)) {
            messages.removeFirst();
        }
    }

    private List<LogMessage> removeBatch() {
        List<LogMessage> batch = new ArrayList<>();
        int sizeBytes = 0;
        while (!messages.isEmpty() && sizeBytes < MAX_BATCH_BYTES) {
            LogMessage message = messages.removeFirst();
            sizeBytes += sizeBytes(message);
            batch.add(message);
        }
        return batch;
    }

    private boolean removeFirst(Predicate<LogMessage> matcher) {
        for (Iterator<LogMessage> queued = messages.iterator(); queued.hasNext(); ) {
            if (matcher.test(queued.next())) {
                queued.remove();
                return true;
            }
        }
        return false;
    }

    private static boolean isHeartbeat(LogMessage message) {
        return message instanceof LogMessage.AppendRequest request
                && request.entries().isEmpty();
    }

    private static int sizeBytes(LogMessage message) {
        if (message instanceof LogMessage.SnapshotChunk chunk) {
            return OVERHEAD_BYTES + chunk.data().sizeBytes();
        }
        if (message instanceof LogMessage.AppendRequest request) {
            return OVERHEAD_BYTES
                    + request.entries().stream().mapToInt(PeerQueue::sizeBytes).sum();
        }
        return OVERHEAD_BYTES;
    }

    private static int sizeBytes(LogEntry entry) {
        return OVERHEAD_BYTES + entry.payload().sizeBytes();
    }
}
