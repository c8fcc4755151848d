package org.wigeongrade.decisions.published;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;

/** Tests until when the acknowledgement of a stored change waits for entry nodes, in virtual time. */
final class ViewConfirmationsTest {
    private static final AvailabilityZone ZONE = AvailabilityZone.of("zone-a");
    private static final long STORED_MS = 60_000;

    private final ViewConfirmations confirmations = new ViewConfirmations();

    @BeforeEach
    void beginTerm() {
        confirmations.beginTerm(0);
    }

    /** Guards against an acknowledgement while an entry node that pulls still has an older version. */
    @ParameterizedTest
    @CsvSource({
        // last heard from the second node, its version, when it confirms version 5 (0: never), when the wait ends
        "-100, 4, 120, 120",
        "-100, 5, 0, 0",
        "-100, 7, 0, 0",
        "-100, 4, 0, 700",
        "-600, 4, 0, 400",
        "-2000, 4, 0, 0",
    })
    void waitEndsOnceEveryNodeHeardFromHasConfirmed(long heardMs, long version, long confirmedMs, long endMs) {
        record(1, 5, STORED_MS - 10);
        record(2, version, STORED_MS + heardMs);
        final CompletableFuture<ViewConfirmations.Outcome> wait =
                confirmations.await(new ViewChange.Configuration(5), nanos(STORED_MS));
        assertThat(wait.isDone()).isEqualTo(endMs == 0);
        for (long ms = 0; ms <= endMs; ms += 10) {
            assertThat(wait.isDone()).isEqualTo(endMs == 0);
            record(1, 5, STORED_MS + ms);
            if (ms == confirmedMs && confirmedMs > 0) {
                record(2, 5, STORED_MS + ms);
            }
            confirmations.expire(nanos(STORED_MS + ms));
        }
        assertThat(wait.join().waitedMs()).isEqualTo(endMs);
        assertThat(wait.join().missing().contains(node(2))).isEqualTo(endMs == ViewConfirmations.MAX_WAIT_MS);
    }

    /** Guards against an acknowledgement by a new leader that entry nodes have not found yet. */
    @ParameterizedTest
    @CsvSource({"0, 700", "500, 500", "950, 50", "1000, 0", "5000, 0"})
    void changeIsNotInForceBeforeEntryNodesCanHaveFoundTheLeader(long storedMs, long waitedMs) {
        final CompletableFuture<ViewConfirmations.Outcome> wait =
                confirmations.await(new ViewChange.Configuration(5), nanos(storedMs));
        for (long ms = 0; ms <= ViewConfirmations.MAX_WAIT_MS; ms += 10) {
            confirmations.expire(nanos(storedMs + ms));
        }
        assertThat(wait.join().waitedMs()).isEqualTo(waitedMs);
    }

    /** Guards against a change that is stored just before the term is known here and whose outcome is then called open. */
    @Test
    void waitThatIsAddedBeforeTheTermGoesOn() {
        final ViewConfirmations beforeTerm = new ViewConfirmations();
        final CompletableFuture<ViewConfirmations.Outcome> wait =
                beforeTerm.await(new ViewChange.Configuration(5), nanos(0));
        beforeTerm.beginTerm(nanos(20));
        beforeTerm.expire(nanos(ViewConfirmations.MAX_WAIT_MS - 1));
        assertThat(wait.isDone()).isFalse();
        beforeTerm.expire(nanos(ViewConfirmations.MAX_WAIT_MS));
        assertThat(wait.join().missing()).isEmpty();
    }

    /** Guards against an order to a zone that is acknowledged while an entry node does the opposite. */
    @ParameterizedTest
    @CsvSource({"true, true, true", "true, false, false", "false, true, false", "false, false, true"})
    void zoneStateIsComparedWithWhatTheNodeStates(boolean out, boolean statedOut, boolean inForce) {
        final ImmutableSet<AvailabilityZone> stated = statedOut ? ImmutableSet.of(ZONE) : ImmutableSet.of();
        confirmations.record(node(1), new ConfirmedView(0, Optional.of(stated)), nanos(STORED_MS));
        assertThat(confirmations
                        .await(new ViewChange.ZoneState(ZONE, out), nanos(STORED_MS))
                        .isDone())
                .isEqualTo(inForce);
    }

    /** An entry node of an earlier build does not state its zones, so that nothing can be waited for. */
    @Test
    void nodeThatStatesNoZonesIsNotWaitedFor() {
        record(1, 5, STORED_MS);
        assertThat(confirmations
                        .await(new ViewChange.ZoneState(ZONE, true), nanos(STORED_MS))
                        .isDone())
                .isTrue();
    }

    /** Guards against an acknowledgement by a leader that lost its lease while it waited. */
    @Test
    void waitFailsWhenTheNodeStopsLeading() {
        record(1, 4, STORED_MS);
        final CompletableFuture<ViewConfirmations.Outcome> wait =
                confirmations.await(new ViewChange.Configuration(5), nanos(STORED_MS));
        confirmations.failAll();
        assertThat(wait.isCompletedExceptionally()).isTrue();
    }

    private void record(int number, long version, long nowMs) {
        confirmations.record(node(number), new ConfirmedView(version, Optional.empty()), nanos(nowMs));
    }

    private static NodeName node(int number) {
        return NodeName.of("entry-" + number);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
