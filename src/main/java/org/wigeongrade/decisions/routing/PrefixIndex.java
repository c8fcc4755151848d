package org.wigeongrade.decisions.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.ids.EndpointId;

/**
 * Which prompt prefixes each engine has in its cache, from the engines' cache events.
 *
 * <p>Invariant: an engine's index holds only what its events said without a gap; a gap or a new incarnation drops that
 * engine's index, as it may name blocks that are gone. Each engine's index holds {@code maxBlocks} digests at most and
 * forgets the oldest first.
 *
 * <p>Thread safety: all methods lock the index, which is a leaf: nothing else is locked inside.
 */
public final class PrefixIndex {
    private final int maxBlocks;
    private final Map<EndpointId, EngineIndex> engines = new HashMap<>();

    /** @param maxBlocks digests kept for each engine */
    public PrefixIndex(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /**
     * Applies cache events of one announcement. {@code firstSequence} is the sequence of its first event; added and
     * removed digests count one each, added first. Events known already are skipped.
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

    /** Forgets an engine. */
    public synchronized void remove(EndpointId engine) {
        engines.remove(engine);
    }

    /** Returns how many leading blocks of the prompt the engine has in its cache. */
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

    /** Returns how many digests are kept of an engine. */
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
                if (isNext(sequence)) {
                    digests.put(digest, Boolean.TRUE);
                }
                sequence++;
            }
            for (String digest : removed) {
                if (isNext(sequence)) {
                    digests.remove(digest);
                }
                sequence++;
            }
            forgetOldest(maxBlocks);
        }

        private boolean isNext(long sequence) {
            if (sequence != nextSequence) {
                return false;
            }
            nextSequence++;
            return true;
        }

        private void forgetOldest(int maxBlocks) {
            var oldest = digests.keySet().iterator();
            while (digests.size() > maxBlocks) {
                oldest.next();
                oldest.remove();
            }
        }
    }
}
