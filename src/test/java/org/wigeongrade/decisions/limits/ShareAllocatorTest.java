package org.wigeongrade.decisions.limits;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;

/** How slots move between holders: released, expired, reclaimed, while the endpoint is cold, and under a new leader. */
final class ShareAllocatorTest {
    private static final ShareKey KEY = ShareKey.endpointSlots(EndpointId.of("e1"));
    private static final NodeName A = NodeName.of("a");
    private static final NodeName B = NodeName.of("b");
    private static final long LEASE = 1_000;
    private static final long LONGEST_RUN = 50_000;
    private static final long PREVIOUS_LEASES_END = -10_000_000;
    private static final long PAST_LEASE = 2 * LEASE;

    private final ShareAllocator allocator = allocator(PREVIOUS_LEASES_END, WarmupState.WARM);
    private long sequence;

    private static ShareAllocator allocator(long previousLeasesEnd, WarmupState initialState) {
        ShareAllocator allocator = new ShareAllocator(LEASE, previousLeasesEnd);
        allocator.setLimit(KEY, new ResourceLimit(10, 2, LONGEST_RUN), initialState);
        return allocator;
    }

    private ShareReport report(int granted, int inUse, int wanted) {
        return new ShareReport(KEY, ++sequence, granted, 0, inUse, wanted, 0, 0, ShareReport.NO_COLD_SIGN);
    }

    private int grant(ShareAllocator leader, NodeName holder, ShareReport report, long now) {
        return leader.applyReport(holder, 1, report, now).orElseThrow().slots();
    }

    @Test
    void givesAllSlotsToTheOnlyHolder() {
        assertThat(grant(allocator, A, report(0, 0, 0), 0)).isEqualTo(10);
    }

    @Test
    void movesSlotsOnlyAfterTheOldHolderReleasedThem() {
        grant(allocator, A, report(0, 0, 10), 0);
        assertThat(grant(allocator, B, report(0, 0, 10), 1)).isEqualTo(0);
        assertThat(grant(allocator, A, report(10, 10, 10), 2)).isEqualTo(5);
        assertThat(grant(allocator, B, report(0, 0, 10), 3)).isEqualTo(0);
        grant(allocator, A, report(5, 7, 10), 4);
        assertThat(grant(allocator, B, report(0, 0, 10), 5)).isEqualTo(3);
    }

    @ParameterizedTest(name = "endpoint reports {0} running, made at {1}; requested at {2}: {3} slots")
    @CsvSource({
        "0, 900, 2000, 0",
        "0, 1500, 2000, 10",
        "4, 1500, 2000, 6",
        "10, 1500, 2000, 0",
        "10, 1500, 51010, 0",
        "10, 1500, 51011, 10",
    })
    void reclaimsSlotsOfAnExpiredHolder(int running, long reportedAt, long requestedAt, int expected) {
        grant(allocator, A, report(0, 0, 10), 0);
        allocator.applyEndpointReport(KEY, running, reportedAt, 1_600);
        assertThat(grant(allocator, B, report(0, 0, 10), requestedAt)).isEqualTo(expected);
    }

    @Test
    void holderThatResumesAfterExpiryReportsEndedWork() {
        grant(allocator, A, report(0, 0, 10), 0);
        grant(allocator, A, report(0, 3, 3), PAST_LEASE);
        assertThat(grant(allocator, B, report(0, 0, 10), PAST_LEASE + 1)).isAtMost(7);
        assertThat(allocator.allocatedSlots(KEY, PAST_LEASE + 1)).isAtMost(10);
    }

    @Test
    void reportOlderThanTheLastOneChangesNothing() {
        ShareReport late = report(0, 0, 10);
        grant(allocator, A, report(0, 0, 10), 0);
        assertThat(allocator.applyReport(A, 1, late, 1)).isEmpty();
        assertThat(allocator.applyReport(A, 1, late, PAST_LEASE)).isEmpty();
        assertThat(allocator.allocatedSlots(KEY, PAST_LEASE)).isEqualTo(10);
    }

    @Test
    void restartedHolderDoesNotInheritItsOldShare() {
        grant(allocator, A, report(0, 0, 10), 0);
        assertThat(allocator
                        .applyReport(A, 2, report(0, 0, 10), 1)
                        .orElseThrow()
                        .slots())
                .isEqualTo(0);
        assertThat(allocator.applyReport(A, 1, report(10, 10, 10), 2)).isEmpty();
    }

    @Test
    void newLeaderAcceptsReportedSharesAndGrantsNothingElse() {
        ShareAllocator newLeader = allocator(5_000, WarmupState.WARM);
        assertThat(grant(newLeader, A, report(4, 4, 9), 100)).isEqualTo(4);
        assertThat(grant(newLeader, B, report(0, 0, 9), 101)).isEqualTo(0);
        newLeader.applyEndpointReport(KEY, 4, 5_500, 5_600);
        assertThat(grant(newLeader, B, report(0, 0, 9), 5_700)).isEqualTo(2);
        assertThat(newLeader.allocatedSlots(KEY, 5_700)).isEqualTo(10);
    }

    @Test
    void coldEndpointHasOneHolderAndGainsSlotsByWarmCompletions() {
        ShareAllocator cold = allocator(PREVIOUS_LEASES_END, WarmupState.COLD);
        assertThat(grant(cold, A, report(0, 0, 9), 0)).isEqualTo(2);
        assertThat(grant(cold, B, report(0, 0, 9), 1)).isEqualTo(0);
        assertThat(grant(cold, A, report(2, 2, 9), 900)).isEqualTo(2);
        ShareReport warmReport = new ShareReport(KEY, ++sequence, 2, 2, 0, 9, 0, 2, ShareReport.NO_COLD_SIGN);
        cold.applyReport(A, 1, warmReport, 901);
        assertThat(cold.availableSlots(KEY)).isEqualTo(4);
    }

    @Test
    void coldSignLeavesSlotsToTheColdHolderOnly() {
        grant(allocator, A, report(0, 0, 5), 0);
        grant(allocator, B, report(0, 0, 5), 1);
        grant(allocator, A, report(10, 0, 5), 2);
        NodeName coldHolder = allocator.coldHolder(KEY).orElseThrow();
        allocator.applyReport(A, 1, new ShareReport(KEY, ++sequence, 0, 0, 0, 5, 0, 0, 0), 3);
        assertThat(allocator.availableSlots(KEY)).isEqualTo(2);
        assertThat(grant(allocator, A, report(0, 0, 5), 4)).isEqualTo(coldHolder.equals(A) ? 2 : 0);
        assertThat(grant(allocator, B, report(0, 0, 5), 5)).isEqualTo(coldHolder.equals(B) ? 2 : 0);
    }
}
