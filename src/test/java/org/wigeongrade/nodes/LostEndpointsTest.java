package org.wigeongrade.nodes;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.LossEvidence;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.decisions.outcomes.VmSighting;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.PromptPartId;
import org.wigeongrade.logging.EventLog;

/** Pattern: an entry node loses all endpoints at once, which crash, or from which it is cut off, or both. */
final class LostEndpointsTest {
    private static final long HEARTBEAT_MS = 1_200;
    private static final long STEP_MS = 100;
    /** Time after the losses within which a crashing request must be kept back. */
    private static final long KEPT_BACK_MS = 2_400;

    private static final NodeName ENTRY_NODE = NodeName.of("entry-1");
    private static final PromptPartId PART = PromptPartId.of("part");

    private final Map<EndpointIncarnation, VmSighting> sightings = new HashMap<>();
    private final CrashQuarantine leader = new CrashQuarantine(
            TimeUnit.MILLISECONDS.toNanos(100),
            new LossEvidence(TimeUnit.MILLISECONDS.toNanos(HEARTBEAT_MS), 0),
            endpoint -> Optional.ofNullable(sightings.get(endpoint)),
            new EventLog());

    /** What each endpoint does at the loss. */
    private enum Fate {
        /** Goes on; only the entry node is cut from it. */
        SERVES(true, false),
        /** Crashes and is heard no more. */
        CRASHES(false, false),
        /** Crashes, and a later process of its VM is heard after two seconds. */
        RESTARTS(false, true);

        private final boolean goesOn;
        private final boolean restarts;

        Fate(boolean goesOn, boolean restarts) {
            this.goesOn = goesOn;
            this.restarts = restarts;
        }

        VmSighting sightingAt(long lostMs, long nowMs) {
            final long heardMs = nowMs - nowMs % HEARTBEAT_MS;
            if (goesOn || heardMs < lostMs) {
                return sighting(1, heardMs);
            }
            return restarts && nowMs >= lostMs + 2_000
                    ? sighting(2, heardMs)
                    : sighting(1, lostMs - lostMs % HEARTBEAT_MS);
        }

        private static VmSighting sighting(long incarnation, long heardMs) {
            return new VmSighting(incarnation, TimeUnit.MILLISECONDS.toNanos(heardMs), false);
        }
    }

    /** Reports of a node that lost all endpoints were dropped, so that a request that crashes them was never kept back. */
    @ParameterizedTest
    @CsvSource({
        // fates of the endpoints; how many losses the node reports before it doubts its links; whether it is kept back
        "CRASHES CRASHES, 1, true",
        "CRASHES CRASHES, 0, true",
        "RESTARTS RESTARTS, 1, true",
        "RESTARTS RESTARTS, 0, true",
        "SERVES SERVES SERVES, 1, false",
        "SERVES SERVES SERVES, 0, false",
        "SERVES SERVES SERVES, 3, false",
        "RESTARTS RESTARTS RESTARTS RESTARTS, 0, true",
        "CRASHES SERVES CRASHES SERVES, 0, true",
        "CRASHES SERVES SERVES SERVES, 0, false",
        "CRASHES SERVES SERVES SERVES, 1, false",
        "RESTARTS SERVES RESTARTS SERVES, 1, true",
    })
    void requestIsKeptBackOnlyIfEndpointsCrashed(String fates, int trusted, boolean keptBack) {
        play(fates, trusted, 1);

        assertThat(leader.quarantinedRequests(ENTRY_NODE, TimeUnit.MILLISECONDS.toNanos(6_500)))
                .hasSize(keptBack ? 1 : 0);
    }

    /** A cut-off node got a sound prompt part kept back, which many requests share. */
    @ParameterizedTest
    @CsvSource({
        "RESTARTS RESTARTS RESTARTS RESTARTS, 0, 1",
        "CRASHES CRASHES CRASHES CRASHES, 1, 1",
        "SERVES SERVES SERVES SERVES, 0, 0",
        "SERVES SERVES SERVES SERVES, 4, 0",
        "CRASHES SERVES SERVES CRASHES, 0, 0",
    })
    void partIsKeptBackOnlyIfEndpointsCrashed(String fates, int trusted, int quarantined) {
        play(fates, trusted, 2);

        assertThat(leader.quarantinedParts(ENTRY_NODE, TimeUnit.MILLISECONDS.toNanos(6_500)))
                .hasSize(quarantined);
    }

    /** Plays six and a half seconds, with the losses at five seconds, and checks that none is counted too late. */
    private void play(String fates, int trusted, int requests) {
        final long lostMs = 4_000;
        final List<String> fateOf = Splitter.on(' ').splitToList(fates);
        for (long nowMs = 0; nowMs <= lostMs + KEPT_BACK_MS; nowMs += STEP_MS) {
            for (int i = 0; i < fateOf.size(); i++) {
                sightings.put(endpoint(i), Fate.valueOf(fateOf.get(i)).sightingAt(lostMs, nowMs));
            }
            if (nowMs == lostMs + STEP_MS) {
                for (int i = 0; i < fateOf.size(); i++) {
                    leader.recordLoss(new ReportedLoss(
                            endpoint(i),
                            "digest-" + i % requests,
                            ImmutableSet.of(PART),
                            TimeUnit.MILLISECONDS.toNanos(lostMs),
                            i >= trusted));
                }
            }
            final long nowNanos = TimeUnit.MILLISECONDS.toNanos(nowMs);
            final var unused = leader.decideLosses(nowNanos);
            leader.recordReport(
                    ENTRY_NODE, List.of(), List.of(), List.of(), List.of(), List.of(), List.of(), false, nowNanos);
        }
    }

    private static EndpointIncarnation endpoint(int number) {
        return new EndpointIncarnation(EndpointId.of("vm-" + number), 1);
    }
}
