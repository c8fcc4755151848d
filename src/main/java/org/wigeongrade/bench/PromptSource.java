package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Generates prompts as lists of blocks. A prompt starts a conversation with one of a set of shared prefixes, some of
 * which are far more common than others, or continues an earlier conversation. Not thread-safe.
 */
final class PromptSource {
    private static final int SHARED_PREFIXES = 60;
    private static final int MIN_PREFIX_BLOCKS = 20;
    private static final int PREFIX_BLOCKS_RANGE = 40;
    private static final int OPEN_CONVERSATIONS = 200;
    private static final double CONTINUED_RATIO = 0.5;

    private final RandomGenerator random;
    private final List<List<String>> conversations = new ArrayList<>();
    private long nextBlock;

    PromptSource(RandomGenerator random) {
        this.random = random;
    }

    List<String> next() {
        boolean continuesConversation = !conversations.isEmpty() && random.nextDouble() < CONTINUED_RATIO;
        int index = random.nextInt(OPEN_CONVERSATIONS);
        List<String> prompt = continuesConversation
                ? new ArrayList<>(conversations.get(index % conversations.size()))
                : randomPrefix();
        int newBlocks = 1 + random.nextInt(6);
        for (int i = 0; i < newBlocks; i++) {
            prompt.add("u" + nextBlock++);
        }
        storeConversation(index, prompt);
        return prompt;
    }

    private void storeConversation(int index, List<String> prompt) {
        if (conversations.size() < OPEN_CONVERSATIONS) {
            conversations.add(prompt);
            return;
        }
        conversations.set(index, prompt);
    }

    /** Returns the blocks of a random shared prefix; prefixes with low numbers are chosen far more often. */
    private List<String> randomPrefix() {
        int prefixNumber = (int) (SHARED_PREFIXES * Math.pow(random.nextDouble(), 2));
        int blocks = MIN_PREFIX_BLOCKS + (prefixNumber * 7) % PREFIX_BLOCKS_RANGE;
        List<String> prompt = new ArrayList<>();
        for (int i = 0; i < blocks; i++) {
            prompt.add("b" + prefixNumber + "." + i);
        }
        return prompt;
    }
}
