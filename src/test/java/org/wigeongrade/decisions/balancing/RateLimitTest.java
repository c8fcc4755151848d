package org.wigeongrade.decisions.balancing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.VmIncarnation;
import org.wigeongrade.ids.VmName;

/** Pattern: an endpoint states a limit on its requests, and every entry node has more for it. In virtual time. */
final class RateLimitTest {
    private static final VmIncarnation ENDPOINT = new VmIncarnation(VmName.of("vm-1"), 1);
    private static final int WINDOW_MS = 4_000;
    private static final int STEP_MS = 10;
    private static final int LENGTH_MS = 40_000;
    private static final double BURST_FACTOR = 1.5;
    private static final int MARGIN = 5;
    /** Part of the limit that is used while there are more requests than that. */
    private static final double MIN_USED = 0.8;

    @ParameterizedTest
    @CsvSource({
        // entry nodes, requests a second, offered requests a second at each node
        "2, 1, 30",
        "7, 0.5, 30",
        "7, 2.7, 30",
        "7, 2.7, 3",
        "7, 40, 100",
        "72, 2.7, 30",
        "95, 0.1, 30",
        "340, 5.7, 10",
    })
    void allNodesTogetherKeepToTheLimitAndUseMostOfIt(int entryNodes, double limit, double offered) {
        final ImmutableList<NodeName> nodes = nodes(entryNodes);
        final ImmutableSet<NodeName> senders = RateLimitShare.senders(ENDPOINT, limit, nodes);
        final Map<NodeName, SendRestriction> restrictions =
                nodes.stream().collect(ImmutableMap.toImmutableMap(node -> node, node -> new SendRestriction()));
        restrictions.forEach((node, restriction) -> restriction.limitTo(
                new StatedLimit(OptionalDouble.of(limit), 0), senders.contains(node) ? limit / senders.size() : 0, 0));
        final Random random = new Random(1);
        final List<Integer> sentMs = new ArrayList<>();
        for (int nowMs = 0; nowMs < LENGTH_MS; nowMs += STEP_MS) {
            for (final SendRestriction restriction : restrictions.values()) {
                final long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
                if (random.nextDouble() < offered * STEP_MS / 1_000 && restriction.allowsSend(nowNanos)) {
                    restriction.recordSent(nowNanos);
                    sentMs.add(nowMs);
                }
            }
        }

        for (final int start : sentMs) {
            final long inWindow = sentMs.stream()
                    .filter(ms -> ms >= start && ms <= start + WINDOW_MS)
                    .count();
            assertWithMessage("requests within 4 s from %s ms", start)
                    .that((double) inWindow)
                    .isAtMost(BURST_FACTOR * limit * WINDOW_MS / 1_000 + MARGIN);
        }
        assertThat(sentMs.size() + senders.size()).isAtLeast((int) (MIN_USED * limit * LENGTH_MS / 1_000));
    }

    @Test
    void laterStatementCounts() {
        final SendRestriction restriction = new SendRestriction();
        restriction.limitTo(new StatedLimit(OptionalDouble.of(3), 100), 1, 100);
        restriction.limitTo(new StatedLimit(OptionalDouble.empty(), 300), 0, 300);
        restriction.limitTo(new StatedLimit(OptionalDouble.of(3), 200), 1, 400);

        assertThat(restriction.requestsPerSecond().isEmpty()).isTrue();
        assertThat(restriction.allowsSend(500)).isTrue();
    }

    private static ImmutableList<NodeName> nodes(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> NodeName.of("entry-" + number))
                .collect(ImmutableList.toImmutableList());
    }
}
