package org.wigeongrade.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Makes prompts as blocks: guideline books that many requests share, some far more than others, and conversations that
 * go on. Not thread-safe.
 */
final class PromptSource {
    private static final int BOOKS = 60;
    private static final int LEAST_BOOK_BLOCKS = 20;
    private static final int MORE_BOOK_BLOCKS = 40;
    private static final int OPEN_CONVERSATIONS = 200;
    private static final double CONTINUED_PART = 0.5;

    private final RandomGenerator random;
    private final List<List<String>> conversations = new ArrayList<>();
    private long nextBlock;

    PromptSource(RandomGenerator random) {
        this.random = random;
    }

    List<String> next() {
        boolean goesOn = !conversations.isEmpty() && random.nextDouble() < CONTINUED_PART;
        int at = random.nextInt(OPEN_CONVERSATIONS);
        List<String> prompt = goesOn ? new ArrayList<>(conversations.get(at % conversations.size())) : book();
        int fresh = 1 + random.nextInt(6);
        for (int i = 0; i < fresh; i++) {
            prompt.add("u" + nextBlock++);
        }
        remember(at, prompt);
        return prompt;
    }

    private void remember(int at, List<String> prompt) {
        if (conversations.size() < OPEN_CONVERSATIONS) {
            conversations.add(prompt);
            return;
        }
        conversations.set(at, prompt);
    }

    /** Picks a book; low numbers are picked far more often. */
    private List<String> book() {
        int book = (int) (BOOKS * Math.pow(random.nextDouble(), 2));
        int blocks = LEAST_BOOK_BLOCKS + (book * 7) % MORE_BOOK_BLOCKS;
        List<String> prompt = new ArrayList<>();
        for (int i = 0; i < blocks; i++) {
            prompt.add("b" + book + "." + i);
        }
        return prompt;
    }
}
