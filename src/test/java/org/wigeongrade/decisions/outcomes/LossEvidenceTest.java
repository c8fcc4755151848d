package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.EndpointId;

final class LossEvidenceTest {
    private static final long HEARTBEAT_MS = 1_200;
    private static final EndpointIncarnation ENDPOINT = new EndpointIncarnation(EndpointId.of("vm-1"), 5);
    private static final long LOST_MS = 10_000;

    private final LossEvidence evidence = new LossEvidence(nanos(HEARTBEAT_MS), 0);

    @ParameterizedTest
    @CsvSource({
        // whether the reporter doubts its links; incarnation, time and end of the latest sign of life; time of the
        // decision
        "false, 5, 9900, false, 10050, LINKS_WORKED",
        "false, 5, 10300, false, 10350, LINKS_WORKED",
        "false, 5, 10500, false, 10550, HEARD_SINCE",
        "true, 5, 9900, false, 10050, UNDECIDED",
        "true, 5, 9900, false, 11790, UNDECIDED",
        "true, 5, 9900, false, 11800, SILENT",
        "true, 5, 10300, false, 10350, UNDECIDED",
        "true, 5, 10500, false, 10550, HEARD_SINCE",
        "true, 5, 10500, true, 10550, INCARNATION_ENDED",
        "true, 6, 10100, false, 10150, INCARNATION_ENDED",
        "true, 4, 10500, false, 10550, UNDECIDED",
        "true, 4, 10500, false, 11800, SILENT",
        "true, , , , 11790, UNDECIDED",
        "true, , , , 11800, SILENT",
    })
    void decidesByTheSignsOfLife(
            boolean linksDoubted, Long incarnation, Long heardMs, Boolean ended, long nowMs, LossVerdict expected) {
        evidence.record(loss("digest", LOST_MS, linksDoubted));
        final Optional<VmSighting> sighting = incarnation == null
                ? Optional.empty()
                : Optional.of(new VmSighting(incarnation, nanos(heardMs), ended));

        assertThat(decide(sighting, nowMs).stream().map(LossEvidence.Decision::verdict))
                .containsExactlyElementsIn(
                        expected == LossVerdict.UNDECIDED ? ImmutableList.of() : ImmutableList.of(expected));
    }

    /** Guards against reports that the leader gives up unseen, as its memory is limited. */
    @ParameterizedTest
    @CsvSource({
        // lost endpoints, requests in flight at each, times that each is reported; reports that are given up
        "512, 1, 2, 0",
        "513, 1, 1, 1",
        "514, 2, 1, 4",
        "1, 256, 2, 0",
        "1, 258, 1, 2",
    })
    void reportsBeyondTheLimitsAreCounted(int endpoints, int requests, int times, int dropped) {
        for (int endpoint = 0; endpoint < endpoints; endpoint++) {
            for (int report = 0; report < requests * times; report++) {
                evidence.record(new ReportedLoss(
                        new EndpointIncarnation(EndpointId.of("vm-" + endpoint), 5),
                        "digest-" + report % requests,
                        ImmutableSet.of(),
                        nanos(LOST_MS),
                        true));
            }
        }

        assertThat(evidence.droppedLosses()).isEqualTo(dropped);
    }

    /** A loss that a node reported in good faith kept a sound request back, though its endpoint went on. */
    @Test
    void lossThatCountedIsWithdrawnByALaterHeartbeat() {
        evidence.record(loss("digest", LOST_MS, false));
        final ImmutableList<LossEvidence.Decision> counted = decide(heardAt(9_900), 10_050);
        final ImmutableList<LossEvidence.Decision> withdrawn = decide(heardAt(10_900), 10_950);

        assertThat(counted.get(0).verdict().isCounted()).isTrue();
        assertThat(withdrawn.get(0).verdict()).isEqualTo(LossVerdict.HEARD_SINCE);
        assertThat(withdrawn.get(0).losses()).isEqualTo(counted.get(0).losses());
    }

    @Test
    void eachLossCountsOnceThoughReportedAgain() {
        evidence.record(loss("a", LOST_MS, true));
        evidence.record(loss("a", LOST_MS + 50, false));
        evidence.record(loss("b", LOST_MS, true));
        assertThat(decide(heardAt(9_900), 10_050).get(0).losses()).hasSize(2);

        evidence.record(loss("a", LOST_MS, false));
        evidence.record(loss("c", LOST_MS, true));
        assertThat(decide(heardAt(9_900), 10_100).get(0).losses()).hasSize(1);
    }

    /** A leader that has just begun has not heard the VMs yet, which is no sign that they are silent. */
    @Test
    void newLeaderWaitsForHeartbeats() {
        final LossEvidence ofNewLeader = new LossEvidence(nanos(HEARTBEAT_MS), nanos(30_000));
        ofNewLeader.record(loss("digest", LOST_MS, true));

        assertThat(ofNewLeader.decide(endpoint -> Optional.empty(), nanos(31_000)))
                .isEmpty();
        assertThat(ofNewLeader.decide(endpoint -> Optional.empty(), nanos(31_800)))
                .hasSize(1);
    }

    @Test
    void keepsALimitedNumberOfLosses() {
        for (int request = 0; request < 10_000; request++) {
            evidence.record(loss("digest-" + request, LOST_MS, false));
        }
        assertThat(decide(heardAt(9_900), 10_050).get(0).losses()).hasSize(256);
        for (int endpoint = 0; endpoint < 10_000; endpoint++) {
            evidence.record(new ReportedLoss(
                    new EndpointIncarnation(EndpointId.of("vm-" + endpoint), 1),
                    "digest",
                    ImmutableSet.of(),
                    nanos(LOST_MS),
                    false));
        }
        assertThat(decide(Optional.empty(), 10_050)).hasSize(512);
    }

    private ImmutableList<LossEvidence.Decision> decide(Optional<VmSighting> sighting, long nowMs) {
        return evidence.decide(endpoint -> sighting, nanos(nowMs));
    }

    private static Optional<VmSighting> heardAt(long ms) {
        return Optional.of(new VmSighting(5, nanos(ms), false));
    }

    private static ReportedLoss loss(String digest, long lostMs, boolean linksDoubted) {
        return new ReportedLoss(ENDPOINT, digest, ImmutableSet.of(), nanos(lostMs), linksDoubted);
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
