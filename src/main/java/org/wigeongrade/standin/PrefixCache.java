package org.wigeongrade.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;

/**
 * The stand-in engine's prompt prefix cache: digests of prefixes whose length is a multiple of {@value #BLOCK_CHARS}
 * characters, least recently used out first.
 *
 * <p>Invariant: holds at most {@code maxBlocks} digests. Not safe for concurrent use; the engine's lock guards it.
 */
public final class PrefixCache {
    /** Length of a cached block in characters of the prompt. */
    public static final int BLOCK_CHARS = 128;

    /** One change of the cache. */
    record Event(boolean added, String digest) {}

    private final int maxBlocks;
    private final LinkedHashSet<String> blocks = new LinkedHashSet<>();
    private final Deque<Event> events = new ArrayDeque<>();

    PrefixCache(int maxBlocks) {
        this.maxBlocks = maxBlocks;
    }

    /** Returns the digests of the prompt's prefixes of 1, 2, ... whole blocks. */
    public static List<String> blockDigests(String prompt) {
        List<String> digests = new ArrayList<>();
        for (int end = BLOCK_CHARS; end <= prompt.length(); end += BLOCK_CHARS) {
            digests.add(AnswerText.digest(prompt.substring(0, end)));
        }
        return digests;
    }

    /** Takes a prompt into the cache and returns the number of its blocks that were not cached. */
    int use(String prompt) {
        int missing = 0;
        for (String digest : blockDigests(prompt)) {
            boolean known = blocks.remove(digest);
            blocks.add(digest);
            if (!known) {
                missing++;
                events.addLast(new Event(true, digest));
            }
        }
        evict();
        return missing;
    }

    private void evict() {
        while (blocks.size() > maxBlocks) {
            String oldest = blocks.iterator().next();
            blocks.remove(oldest);
            events.addLast(new Event(false, oldest));
        }
    }

    /** Takes up to {@code max} events that were not yet published. */
    List<Event> takeEvents(int max) {
        List<Event> taken = new ArrayList<>();
        while (taken.size() < max && !events.isEmpty()) {
            taken.add(events.removeFirst());
        }
        return taken;
    }

    void clear() {
        blocks.clear();
        events.clear();
    }
}
