package org.wigeongrade.callers;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.collect.ImmutableList;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;

/**
 * Computes the digests that identify the leading blocks of a prompt. Engines use the same digests in their cache
 * events: each covers the text from the start of the prompt to the end of the block. Stateless; safe for use from any
 * thread.
 */
final class PromptPrefixDigests {
    private static final int BLOCK_CHARACTERS = 128;
    private static final int MAX_BLOCKS = 32;
    private static final int DIGEST_CHARACTERS = 16;

    private PromptPrefixDigests() {}

    /** Returns one digest for each leading block of the prompt, with the shortest prefix first. */
    static ImmutableList<String> of(GenerationApi api, JsonNode prompt) {
        final String text = api.promptText(prompt);
        final int blocks = Math.min(MAX_BLOCKS, text.length() / BLOCK_CHARACTERS);
        final ImmutableList.Builder<String> digests = ImmutableList.builder();
        for (int block = 1; block <= blocks; block++) {
            digests.add(digest(text.substring(0, block * BLOCK_CHARACTERS)));
        }
        return digests.build();
    }

    private static String digest(String prefix) {
        return Hashing.sha256()
                .hashString(prefix, StandardCharsets.UTF_8)
                .toString()
                .substring(0, DIGEST_CHARACTERS);
    }
}
