package org.wigeongrade.decisions.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.ids.EndpointId;

/**
 * Tracks which prompt prefixes each engine has cached, based on the engines' cache events.
 *
 * <p>Invariant: an engine's index reflects only cache events received without a gap; a gap or a new incarnation clears
 * that engine's index, since it may list blocks that were evicted. The index of each engine holds at most
 * {@code maxBlocks} digests and evicts the oldest first.
 *
 * <p>Thread safety: every method locks this object and acquires no other lock while holding it.
 */
public final class PrefixIndex {
    private final int maxBlocks;
    private final Map<EndpointId, EngineIndex> engines = new HashMap<>();

    /** @param maxBlocks maximum number of digests kept for each engine */
    public PrefixIndex(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /**
     * Applies the cache events of one announcement. {@code firstSequence} is the sequence number of the first event.
     * Each digest counts as one event; the added digests come before the removed ones. Events that were applied before
     * are skipped.
     */
    public synchronized void apply(
            EndpointId engine, long incarnation, long firstSequence, List<String> added, List<String> removed) {
        EngineIndex index = engines.get(engine);
        if (index == null || index.incarnation != incarnation) {
            index = new EngineIndex(incarnation, firstSequence);
            engines.put(engine, index);
        }
        index.apply(firstSequence, added, removed, maxBlocks);
    }

    /** Removes the index of an engine. */
    public synchronized void remove(EndpointId engine) {
        engines.remove(engine);
    }

    /** Returns how many leading blocks of the prompt the engine has cached. */
    public synchronized int matchedBlocks(EndpointId engine, List<String> prefixDigests) {
        EngineIndex index = engines.get(engine);
        if (index == null) {
            return 0;
        }
        int matched = 0;
        while (matched < prefixDigests.size() && index.digests.containsKey(prefixDigests.get(matched))) {
            matched++;
        }
        return matched;
    }

    /** Returns how many digests are kept for an engine. */
    public synchronized int size(EndpointId engine) {
        EngineIndex index = engines.get(engine);
        return index == null ? 0 : index.digests.size();
    }

    private static final class EngineIndex {
        private final long incarnation;
        private final Map<String, Boolean> digests = new LinkedHashMap<>();
        private long nextSequence;

        EngineIndex(long incarnation, long firstSequence) {
            this.incarnation = incarnation;
            this.nextSequence = firstSequence;
        }

        void apply(long firstSequence, List<String> added, List<String> removed, int maxBlocks) {
            if (firstSequence > nextSequence) {
                digests.clear();
                nextSequence = firstSequence;
            }
            long sequence = firstSequence;
            for (String digest : added) {
                if (advanceIfNext(sequence)) {
                    digests.put(digest, Boolean.TRUE);
                }
                sequence++;
            }
            for (String digest : removed) {
                if (advanceIfNext(sequence)) {
                    digests.remove(digest);
                }
                sequence++;
            }
            evictOldest(maxBlocks);
        }

        private boolean advanceIfNext(long sequence) {
            if (sequence != nextSequence) {
                return false;
            }
            nextSequence++;
            return true;
        }

        private void evictOldest(int maxBlocks) {
            var oldest = digests.keySet().iterator();
            while (digests.size() > maxBlocks) {
                oldest.next();
                oldest.remove();
            }
        }
    }
}
