package org.wigeongrade.standin;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class PrefixCacheTest {
    @Test
    void promptsWithTheSamePrefixShareItsDigests() {
        String prefix = "p".repeat(2 * PrefixCache.BLOCK_CHARS);

        assertThat(PrefixCache.blockDigests(prompt(prefix + "one")))
                .isEqualTo(PrefixCache.blockDigests(prompt(prefix + "two")));
    }

    @Test
    void evictsTheLeastRecentlyUsedBlockAndPublishesAdditionsBeforeRemovals() {
        PrefixCache cache = new PrefixCache(1);
        Prompt first = prompt("a".repeat(PrefixCache.BLOCK_CHARS));
        Prompt second = prompt("b".repeat(PrefixCache.BLOCK_CHARS));

        assertThat(cache.insert(first)).isEqualTo(1);
        assertThat(cache.insert(first)).isEqualTo(0);
        assertThat(cache.insert(second)).isEqualTo(1);
        assertThat(cache.insert(first)).isEqualTo(1);

        List<PrefixCache.Event> batch = cache.pollEvents(10);
        assertThat(batch.stream().map(PrefixCache.Event::added))
                .containsExactly(true, true, false)
                .inOrder();
        assertThat(cache.pollEvents(10).stream().map(PrefixCache.Event::added))
                .containsExactly(true, false)
                .inOrder();
    }

    private static Prompt prompt(String text) {
        return Prompt.of(StandinJson.MAPPER.createObjectNode().put("model", "m").put("prompt", text))
                .orElseThrow();
    }
}
