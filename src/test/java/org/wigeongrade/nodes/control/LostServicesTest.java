package org.wigeongrade.nodes.control;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.membership.EndpointKind;
import org.wigeongrade.decisions.membership.EndpointState;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.QuarantineProposal;
import org.wigeongrade.decisions.outcomes.SuspectTable;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.nodes.CrashRecords;
import org.wigeongrade.nodes.NodeTimings;
import org.wigeongrade.nodes.thrift.AnnouncementRecord;
import org.wigeongrade.nodes.thrift.PullRequest;

/** Pattern, on the own interface: an entry VM loses all endpoints at once, which crash, or from which it is cut off. */
final class LostServicesTest {
    private static final long TERM = 7;
    private static final long LEASE_MS = 3_000;
    private static final long LOST_MS = 10_000;
    private static final String DIGEST = "digest";
    private static final NodeName ENTRY_VM = NodeName.of("entry-1");

    private final AtomicLong nowMs = new AtomicLong();
    private final NodeTimings timings = new NodeTimings(nanos(2_000), nanos(500), nanos(LEASE_MS), nanos(1_000));
    private final ControlState state = new ControlState();
    private final LeaderState leader = new LeaderState(TERM, 0, timings, state, new EventLog());
    private final PullHandler handler = new PullHandler(state, timings, () -> nanos(nowMs.get()));
    private final SuspectTable suspects = new SuspectTable(ENTRY_VM, 500);

    /** Losses seen behind links that seemed cut were forgotten, so that a crashing request was never quarantined. */
    @ParameterizedTest
    @CsvSource({
        // endpoints that crash and that go on; when a later process of a crashed VM announces itself, 0 if never;
        // losses
        // that the entry VM reports without doubting its links; whether the request is proposed for quarantine
        "2, 0, 2000, 0, true",
        "2, 0, 2000, 1, true",
        "2, 0, 0, 0, true",
        "0, 3, 0, 0, false",
        "0, 3, 0, 1, false",
        "2, 2, 2000, 0, true",
        "1, 3, 2000, 0, false",
        "1, 3, 2000, 1, false",
    })
    void requestIsQuarantinedOnlyIfEndpointsCrashed(
            int crashed, int sound, long backAfterMs, int trusted, boolean quarantined) {
        final List<QuarantineProposal> proposals = new ArrayList<>();
        for (long ms = 0; ms <= LOST_MS + LEASE_MS + 2_000; ms += 500) {
            nowMs.set(ms);
            if (ms == LOST_MS) {
                for (int i = 0; i < crashed + sound; i++) {
                    final EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("vm-" + i), 1);
                    suspects.begin(DIGEST, ImmutableSet.of(), endpoint);
                    suspects.connectionLost(DIGEST, endpoint, i >= trusted, nanos(ms));
                }
            }
            proposals.addAll(handler.processReports(pull(crashed, sound, backAfterMs), leader));
        }

        assertThat(proposals.stream().map(QuarantineProposal::requestDigest).distinct())
                .containsExactlyElementsIn(quarantined ? List.of(DIGEST) : List.of());
        assertThat(leader.suspects()
                        .list(ENTRY_VM, ImmutableSet.of(), ImmutableSet.of(), nanos(nowMs.get()))
                        .suspects())
                .hasSize(crashed > 0 ? 1 : 0);
    }

    /** A sound request was a suspect on the VM that was cut off, so that it ran only on trial. */
    @ParameterizedTest
    @CsvSource({"true, false", "false, true"})
    void doubtedLossMakesNoSuspectOnItsOwnVm(boolean linksDoubted, boolean suspect) {
        final EndpointIncarnation endpoint = new EndpointIncarnation(EndpointId.of("vm-1"), 1);
        suspects.begin(DIGEST, ImmutableSet.of(), endpoint);
        suspects.connectionLost(DIGEST, endpoint, linksDoubted, 0);

        assertThat(suspects.check(DIGEST, ImmutableSet.of(), 1).toString().contains("Clear"))
                .isEqualTo(!suspect);
        assertThat(suspects.report().losses()).hasSize(1);
    }

    private PullRequest pull(int crashed, int sound, long backAfterMs) {
        final long sinceLossMs = nowMs.get() - LOST_MS;
        final List<AnnouncementRecord> announcements = new ArrayList<>();
        for (int i = 0; i < crashed + sound; i++) {
            final boolean lives = i >= crashed || sinceLossMs < 0;
            final boolean back = backAfterMs > 0 && sinceLossMs >= backAfterMs;
            if (lives || back) {
                announcements.add(announcement("vm-" + i, lives ? 1 : 2));
            }
        }
        return new PullRequest()
                .setNode(ENTRY_VM.value())
                .setAvailabilityZone("zone-a")
                .setCallerAddress("127.0.0.1:1")
                .setAnnouncements(announcements)
                .setShares(List.of())
                .setCrashReport(CrashRecords.toThrift(suspects.report(), List.of(), nanos(nowMs.get()))
                        .setPartCompletions(List.of())
                        .setRefusedParts(List.of())
                        .setQuarantinedParts(List.of()));
    }

    private AnnouncementRecord announcement(String vm, long incarnation) {
        return new AnnouncementRecord()
                .setVm(vm)
                .setIncarnation(incarnation)
                .setAddress("127.0.0.1:2")
                .setAvailabilityZone("zone-a")
                .setFabricDomain("domain-a")
                .setKind(EndpointKind.SERVICE.label())
                .setServiceName("app")
                .setState(EndpointState.WARM.label())
                .setSequence(nowMs.get())
                .setEchoTerm(TERM)
                .setEchoSentAtNanos(nanos(nowMs.get()));
    }

    private static long nanos(long ms) {
        return TimeUnit.MILLISECONDS.toNanos(ms);
    }
}
