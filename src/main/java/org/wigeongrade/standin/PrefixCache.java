package org.wigeongrade.standin;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * The stand-in engine's prompt prefix cache: digests of prefixes whose length is a multiple of {@value #BLOCK_CHARS}
 * characters of the prompt's JSON text. Evicts the least recently used digest first.
 *
 * <p>Invariant: holds at most {@code maxBlocks} digests. Not safe for concurrent use; the engine's lock guards it.
 */
public final class PrefixCache {
    /** Length of a cached block in characters of the prompt. */
    public static final int BLOCK_CHARS = 256;

    private static final int MAX_BLOCKS = 32;
    private static final int DIGEST_CHARS = 16;

    /** One change of the cache: a digest that was added or removed. */
    record Event(boolean added, String digest) {}

    private final int maxBlocks;
    private final LinkedHashSet<String> blocks = new LinkedHashSet<>();
    private final Deque<Event> events = new ArrayDeque<>();

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /**
     * Returns the digests of the prompt's prefixes of 1, 2, ... complete blocks, at most {@value #MAX_BLOCKS}. Each is
     * a hash of the previous hash and the block's text; the chain starts with the hash of the model.
     */
    public static List<String> blockDigests(Prompt prompt) {
        String json = prompt.promptJson();
        int blocks = Math.min(MAX_BLOCKS, json.length() / BLOCK_CHARS);
        List<String> digests = new ArrayList<>();
        String previous = sha256(prompt.model());
        for (int i = 0; i < blocks; i++) {
            previous = sha256(previous + json.substring(i * BLOCK_CHARS, (i + 1) * BLOCK_CHARS));
            digests.add(previous.substring(0, DIGEST_CHARS));
        }
        return digests;
    }

    private static String sha256(String text) {
        return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
    }

    /** Inserts the blocks of a prompt into the cache and returns how many of them were not cached before. */
    int insert(Prompt prompt) {
        int uncachedBlocks = 0;
        for (String digest : blockDigests(prompt)) {
            boolean cached = blocks.remove(digest);
            blocks.add(digest);
            if (!cached) {
                uncachedBlocks++;
                events.addLast(new Event(true, digest));
            }
        }
        evict();
        return uncachedBlocks;
    }

    private void evict() {
        while (blocks.size() > maxBlocks) {
            String oldest = blocks.iterator().next();
            blocks.remove(oldest);
            events.addLast(new Event(false, oldest));
        }
    }

    /**
     * Takes up to {@code maxEvents} events that were not yet announced: additions first, then removals, as an
     * announcement lists them.
     */
    List<Event> pollEvents(int maxEvents) {
        List<Event> polled = new ArrayList<>();
        boolean removing = false;
        while (polled.size() < maxEvents && !events.isEmpty()) {
            if (removing && events.getFirst().added()) {
                return polled;
            }
            removing = !events.getFirst().added();
            polled.add(events.removeFirst());
        }
        return polled;
    }

    void clear() {
        blocks.clear();
        events.clear();
    }
}
