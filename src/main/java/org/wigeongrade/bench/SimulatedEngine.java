package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.wigeongrade.ids.EndpointId;

/**
 * An engine of {@link RoutingSimulation} with a prefix cache of limited size that evicts the least recently used
 * blocks. Not thread-safe.
 */
final class SimulatedEngine {
    /** Cache events that have not been published yet. */
    record CacheEvents(long firstSequence, List<String> added, List<String> removed) {}

    final EndpointId id;
    private final int cacheBlocks;
    private final Map<String, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<String> added = new ArrayList<>();
    private final List<String> removed = new ArrayList<>();
    private long nextSequence;
    private int inFlight;
    private int reportedInFlight;

    SimulatedEngine(int number, int cacheBlocks) {
        this.id = EndpointId.of("engine-" + number);
        this.cacheBlocks = cacheBlocks;
    }

    int inFlight() {
        return inFlight;
    }

    int reportedInFlight() {
        return reportedInFlight;
    }

    void setReportedInFlight(int running) {
        reportedInFlight = running;
    }

    /** Begins a request and returns the number of leading blocks of its prompt that were in the cache. */
    int begin(List<String> blocks) {
        inFlight++;
        int matched = 0;
        while (matched < blocks.size() && cache.get(blocks.get(matched)) != null) {
            matched++;
        }
        blocks.forEach(this::cacheBlock);
        evictOldest();
        return matched;
    }

    void end() {
        inFlight--;
    }

    CacheEvents drainEvents() {
        CacheEvents events = new CacheEvents(nextSequence, List.copyOf(added), List.copyOf(removed));
        nextSequence += added.size() + removed.size();
        added.clear();
        removed.clear();
        return events;
    }

    private void cacheBlock(String block) {
        if (cache.put(block, Boolean.TRUE) == null) {
            removed.remove(block);
            added.add(block);
        }
    }

    private void evictOldest() {
        Iterator<String> oldest = cache.keySet().iterator();
        while (cache.size() > cacheBlocks) {
            String block = oldest.next();
            oldest.remove();
            if (!added.remove(block)) {
                removed.add(block);
            }
        }
    }
}
