package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;

/** Requests that crash endpoints, as seen by two entry VMs and the leader. */
final class SuspectsTest {
    private static final NodeName A = NodeName.of("a");
    private static final NodeName B = NodeName.of("b");
    private static final long MINUTE = TimeUnit.MINUTES.toNanos(1);
    private static final EndpointIncarnation E1 = new EndpointIncarnation(EndpointId.of("e1"), 1);
    private static final EndpointIncarnation E2 = new EndpointIncarnation(EndpointId.of("e2"), 1);
    private static final String BAD = "digest-bad";
    private static final String INNOCENT = "digest-innocent";

    private final SuspectTable a = new SuspectTable(A, 500);
    private final SuspectTable b = new SuspectTable(B, 500);
    private final CrashSuspects leader = new CrashSuspects(10 * MINUTE, MINUTE);
    private ImmutableSet<String> quarantined = ImmutableSet.of();

    private ImmutableList<QuarantineProposal> exchange(NodeName name, SuspectTable table, long now) {
        ImmutableList<QuarantineProposal> proposals = leader.report(name, table.report(), now);
        proposals.forEach(proposal -> quarantined = ImmutableSet.<String>builder()
                .addAll(quarantined)
                .add(proposal.requestDigest())
                .build());
        table.apply(leader.list(name, table.wantedTrials(now), quarantined, now), now);
        return proposals;
    }

    @Test
    void twoLostEndpointsQuarantineTheDigestFleetWide() {
        a.begin(BAD, ImmutableSet.of(), E1);
        a.begin(INNOCENT, ImmutableSet.of(), E1);
        a.endpointLost(E1, 0);
        assertThat(exchange(A, a, 1)).isEmpty();
        exchange(B, b, 2);
        assertThat(b.check(BAD, ImmutableSet.of(), 3)).isInstanceOf(SuspectDecision.RetryLater.class);
        exchange(B, b, 4);
        assertThat(b.check(BAD, ImmutableSet.of(), 5)).isInstanceOf(SuspectDecision.RunAlone.class);
        b.begin(BAD, ImmutableSet.of(), E2);
        assertThat(b.isReservedForSuspect(E2.endpoint())).isTrue();
        assertThat(b.check(BAD, ImmutableSet.of(), 6)).isInstanceOf(SuspectDecision.RetryLater.class);
        b.endpointLost(E2, 0);
        assertThat(exchange(B, b, 7)).hasSize(1);
        exchange(A, a, 8);
        assertThat(a.check(BAD, ImmutableSet.of(), 9)).isInstanceOf(SuspectDecision.Quarantined.class);
        assertThat(a.check(INNOCENT, ImmutableSet.of(), 9)).isNotInstanceOf(SuspectDecision.Quarantined.class);
    }

    @Test
    void suspectThatCompletesIsCleared() {
        a.begin(INNOCENT, ImmutableSet.of(), E1);
        a.endpointLost(E1, 0);
        exchange(A, a, 1);
        a.check(INNOCENT, ImmutableSet.of(), 2);
        exchange(A, a, 3);
        assertThat(a.check(INNOCENT, ImmutableSet.of(), 4)).isInstanceOf(SuspectDecision.RunAlone.class);
        a.begin(INNOCENT, ImmutableSet.of(), E2);
        a.end(INNOCENT, E2, AttemptEvent.ANSWERED, 4);
        exchange(A, a, 5);
        exchange(B, b, 6);
        assertThat(a.check(INNOCENT, ImmutableSet.of(), 7)).isInstanceOf(SuspectDecision.Clear.class);
        assertThat(b.check(INNOCENT, ImmutableSet.of(), 7)).isInstanceOf(SuspectDecision.Clear.class);
    }

    @Test
    void onlyOneEntryVmHoldsTheTrialUntilItsDeadline() {
        a.begin(BAD, ImmutableSet.of(), E1);
        a.endpointLost(E1, 0);
        exchange(A, a, 1);
        a.check(BAD, ImmutableSet.of(), 2);
        exchange(A, a, 3);
        exchange(B, b, 3);
        b.check(BAD, ImmutableSet.of(), 4);
        exchange(B, b, 5);
        assertThat(a.check(BAD, ImmutableSet.of(), 6)).isInstanceOf(SuspectDecision.RunAlone.class);
        assertThat(b.check(BAD, ImmutableSet.of(), 6)).isInstanceOf(SuspectDecision.RetryLater.class);
        long later = 2 * MINUTE;
        assertThat(a.check(BAD, ImmutableSet.of(), later)).isInstanceOf(SuspectDecision.RetryLater.class);
        b.check(BAD, ImmutableSet.of(), later);
        exchange(B, b, later + 1);
        assertThat(b.check(BAD, ImmutableSet.of(), later + 2)).isInstanceOf(SuspectDecision.RunAlone.class);
    }

    @Test
    void unwantedTrialIsReleased() {
        a.begin(BAD, ImmutableSet.of(), E1);
        a.endpointLost(E1, 0);
        assertThat(a.check(BAD, ImmutableSet.of(), 0)).isInstanceOf(SuspectDecision.RetryLater.class);
        exchange(A, a, 1);
        long later = TimeUnit.SECONDS.toNanos(5);
        exchange(A, a, later);
        exchange(B, b, later);
        b.check(BAD, ImmutableSet.of(), later);
        exchange(B, b, later);
        assertThat(b.check(BAD, ImmutableSet.of(), later + 1)).isInstanceOf(SuspectDecision.RunAlone.class);
        assertThat(a.check(BAD, ImmutableSet.of(), later + 1)).isInstanceOf(SuspectDecision.RetryLater.class);
    }

    @Test
    void lossOfOneEndpointCountsOnce() {
        a.begin(BAD, ImmutableSet.of(), E1);
        b.begin(BAD, ImmutableSet.of(), E1);
        a.endpointLost(E1, 0);
        b.endpointLost(E1, 0);
        CrashReport report = a.report();
        assertThat(leader.report(A, report, 1)).isEmpty();
        assertThat(leader.report(A, report, 2)).isEmpty();
        assertThat(leader.report(B, b.report(), 3)).isEmpty();
    }
}
