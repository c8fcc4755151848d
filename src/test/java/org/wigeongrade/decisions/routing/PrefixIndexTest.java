package org.wigeongrade.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.EndpointId;

/** Cache events that arrive late, repeatedly, with gaps or from another incarnation of the engine. */
final class PrefixIndexTest {
    private static final EndpointId ENGINE = EndpointId.of("e1");
    private static final ImmutableList<String> PROMPT = ImmutableList.of("a", "b", "c");

    private final PrefixIndex index = new PrefixIndex(4);

    @Test
    void matchesLeadingBlocksOnly() {
        index.apply(ENGINE, 1, 0, ImmutableList.of("a", "c"), List.of());
        assertThat(index.matchedBlocks(ENGINE, PROMPT)).isEqualTo(1);
        index.apply(ENGINE, 1, 2, ImmutableList.of("b"), List.of());
        assertThat(index.matchedBlocks(ENGINE, PROMPT)).isEqualTo(3);
        index.apply(ENGINE, 1, 3, List.of(), ImmutableList.of("a"));
        assertThat(index.matchedBlocks(ENGINE, PROMPT)).isEqualTo(0);
    }

    @Test
    void repeatedEventsChangeNothing() {
        index.apply(ENGINE, 1, 0, ImmutableList.of("a"), ImmutableList.of("a"));
        index.apply(ENGINE, 1, 0, ImmutableList.of("a"), List.of());
        assertThat(index.matchedBlocks(ENGINE, PROMPT)).isEqualTo(0);
    }

    @Test
    void gapDropsTheEnginesIndex() {
        index.apply(ENGINE, 1, 0, ImmutableList.of("a", "b"), List.of());
        index.apply(ENGINE, 1, 5, ImmutableList.of("c"), List.of());
        assertThat(index.matchedBlocks(ENGINE, PROMPT)).isEqualTo(0);
        assertThat(index.size(ENGINE)).isEqualTo(1);
    }

    @Test
    void newIncarnationDropsTheEnginesIndex() {
        index.apply(ENGINE, 1, 0, ImmutableList.of("a"), List.of());
        index.apply(ENGINE, 2, 1, List.of(), List.of());
        assertThat(index.matchedBlocks(ENGINE, PROMPT)).isEqualTo(0);
    }

    @Test
    void evictsTheOldestBeyondItsLimit() {
        index.apply(ENGINE, 1, 0, ImmutableList.of("a", "b", "c", "d", "e", "f"), List.of());
        assertThat(index.size(ENGINE)).isEqualTo(4);
        assertThat(index.matchedBlocks(ENGINE, ImmutableList.of("f"))).isEqualTo(1);
    }
}
