package org.wigeongrade.nodes.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;

/**
 * Collects the newest announcement of each VM that was received since the last pull.
 *
 * <p>Invariant: each announcement carries how long after the last pull reply it was received, so that the leader can
 * start its lease, on the leader's own clock, no later than the announcement was received. Announcements received
 * before the first pull reply are dropped; VMs soon send new ones. Thread safe: every method locks this object and
 * calls nothing else.
 */
public final class AnnouncementInbox {
    private static final int MAX_CACHE_EVENTS = 4_096;

    private final Map<String, AnnouncementRecord> latestByVm = new LinkedHashMap<>();
    private long echoTerm;
    private long echoSentAtNanos;
    private long echoReceivedAtNanos;

    /**
     * Records a pull reply: the leader's term, when the leader sent it on the leader's clock, and when this VM received
     * it.
     */
    public synchronized void recordReply(long term, long sentAtNanos, long receivedAtNanos) {
        echoTerm = term;
        echoSentAtNanos = sentAtNanos;
        echoReceivedAtNanos = receivedAtNanos;
    }

    /** Stores an announcement until the next pull. */
    public synchronized void add(AnnouncementRecord record, long nowNanos) {
        if (echoTerm == 0) {
            return;
        }
        record.setEchoTerm(echoTerm);
        record.setEchoSentAtNanos(echoSentAtNanos);
        record.setHeardAfterEchoNanos(Math.max(0, nowNanos - echoReceivedAtNanos));
        final AnnouncementRecord earlier = latestByVm.remove(record.getVm());
        latestByVm.put(record.getVm(), earlier == null ? record : merge(earlier, record));
    }

    /** Removes and returns all announcements. */
    public synchronized List<AnnouncementRecord> drain() {
        final List<AnnouncementRecord> all = new ArrayList<>(latestByVm.values());
        latestByVm.clear();
        return all;
    }

    /**
     * Puts back the announcements of a failed pull, except those of VMs that announced themselves again in the
     * meantime.
     */
    public synchronized void putBack(List<AnnouncementRecord> records) {
        records.forEach(record -> latestByVm.putIfAbsent(record.getVm(), record));
    }

    private static AnnouncementRecord merge(AnnouncementRecord earlier, AnnouncementRecord later) {
        if (isOlder(later, earlier)) {
            return earlier;
        }
        if (earlier.getIncarnation() == later.getIncarnation()) {
            prependCacheEvents(earlier, later);
        }
        return later;
    }

    private static boolean isOlder(AnnouncementRecord first, AnnouncementRecord second) {
        if (first.getIncarnation() != second.getIncarnation()) {
            return first.getIncarnation() < second.getIncarnation();
        }
        return first.getSequence() <= second.getSequence();
    }

    /**
     * Adds the cache events of the earlier announcement to the later one, if they are contiguous, the earlier one has
     * no removals and the limit is not exceeded.
     */
    private static void prependCacheEvents(AnnouncementRecord earlier, AnnouncementRecord later) {
        if (!earlier.isSetCacheFirstSequence() || !earlier.getCacheRemoved().isEmpty()) {
            return;
        }
        final long end = earlier.getCacheFirstSequence() + earlier.getCacheAddedSize();
        final boolean follows = !later.isSetCacheFirstSequence() || later.getCacheFirstSequence() == end;
        if (!follows || earlier.getCacheAddedSize() + later.getCacheAddedSize() > MAX_CACHE_EVENTS) {
            return;
        }
        final List<String> added = new ArrayList<>(earlier.getCacheAdded());
        added.addAll(later.getCacheAdded());
        later.setCacheAdded(added);
        later.setCacheFirstSequence(earlier.getCacheFirstSequence());
    }
}
