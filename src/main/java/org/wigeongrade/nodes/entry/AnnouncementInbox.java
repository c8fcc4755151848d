package org.wigeongrade.nodes.entry;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;

/**
 * Announcements heard since the last pull, the newest of each VM.
 *
 * <p>Invariant: each carries how long after the last pull reply it was heard, so that the leader can count its lease
 * from a time that is no later than the hearing, on the leader's own clock. Announcements heard before any reply are
 * dropped; the next ones follow soon. Thread safe: every method locks this object and calls nothing else.
 */
public final class AnnouncementInbox {
    private static final int MAX_CACHE_EVENTS = 4_096;

    private final Map<String, AnnouncementRecord> heard = new LinkedHashMap<>();
    private long echoTerm;
    private long echoSentAtNanos;
    private long echoReceivedAtNanos;

    /** Notes a pull reply: the leader's term and sending time, and when it was received here. */
    public synchronized void replyReceived(long term, long sentAtNanos, long receivedAtNanos) {
        echoTerm = term;
        echoSentAtNanos = sentAtNanos;
        echoReceivedAtNanos = receivedAtNanos;
    }

    /** Keeps an announcement until the next pull. */
    public synchronized void add(AnnouncementRecord record, long nowNanos) {
        if (echoTerm == 0) {
            return;
        }
        record.setEchoTerm(echoTerm);
        record.setEchoSentAtNanos(echoSentAtNanos);
        record.setHeardAfterEchoNanos(Math.max(0, nowNanos - echoReceivedAtNanos));
        final AnnouncementRecord earlier = heard.remove(record.getVm());
        heard.put(record.getVm(), earlier == null ? record : newer(earlier, record));
    }

    /** Takes all announcements out. */
    public synchronized List<AnnouncementRecord> drain() {
        final List<AnnouncementRecord> all = new ArrayList<>(heard.values());
        heard.clear();
        return all;
    }

    /** Keeps announcements again whose pull failed, unless newer ones came meanwhile. */
    public synchronized void putBack(List<AnnouncementRecord> records) {
        records.forEach(record -> heard.putIfAbsent(record.getVm(), record));
    }

    private static AnnouncementRecord newer(AnnouncementRecord earlier, AnnouncementRecord later) {
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

    /** Keeps the cache events of both announcements where no removal stands between them. */
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
