package org.wigeongrade.fleet.entry;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests to which entry nodes requests are relayed. */
final class RelayPeersTest {
    private static final List<String> ADDRESSES = List.of("p1", "p2", "p3");

    private final RelayPeers peers = new RelayPeers(new SplittableRandom(1));

    @Test
    void triedNodesAreNotChosenAgain() {
        assertThat(peers.choose(ADDRESSES, Set.of("p1", "p2"), 0)).hasValue("p3");
        assertThat(peers.choose(ADDRESSES, Set.copyOf(ADDRESSES), 0)).isEqualTo(Optional.empty());
    }

    @Test
    void nodeThatFailedIsChosenOnlyIfThereIsNoOther() {
        peers.recordFailure("p1", 0);
        peers.recordFailure("p2", 0);

        assertThat(peers.choose(ADDRESSES, Set.of(), 1)).hasValue("p3");
        assertThat(peers.choose(ADDRESSES, Set.of("p3"), 1)).isNotEqualTo(Optional.empty());
        final long laterNanos = TimeUnit.SECONDS.toNanos(4);
        assertThat(peers.choose(ADDRESSES, Set.of("p2", "p3"), laterNanos)).hasValue("p1");
    }

    /** Pattern: one of three nodes stops answering while requests are relayed to all of them. */
    @Test
    void nodeThatDoesNotAnswerSoonGetsFewRequests() {
        int sentToSilent = 0;
        for (int request = 0; request < 1_000; request++) {
            final String chosen = peers.choose(ADDRESSES, Set.of(), request).orElseThrow();
            peers.recordSent(chosen);
            if (chosen.equals("p1")) {
                sentToSilent++;
            } else {
                peers.recordEnded(chosen);
            }
        }

        // Both random choices fall on the silent node one time in nine.
        assertThat(sentToSilent).isLessThan(200);
    }
}
