package org.wigeongrade.nodes;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.decisions.outcomes.EndpointIncarnation;
import org.wigeongrade.decisions.outcomes.LossEvidence;
import org.wigeongrade.decisions.outcomes.ReportedLoss;
import org.wigeongrade.fleet.thrift.QuarantinedRequestRecord;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.logging.EventLog;

/** Pattern: a request crashes each endpoint that runs it, and the leader changes again and again. */
final class CrashQuarantineTest {
    private static final long PULL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final long HEARTBEAT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);
    private static final NodeName ENTRY_NODE = NodeName.of("entry-1");
    private static final String DIGEST = "digest";
    /** The clocks of two leaders differ. */
    private static final long CLOCK_DIFFERENCE_NANOS = TimeUnit.HOURS.toNanos(-3);

    /** Each new leader let a quarantined request crash two more endpoints. */
    @ParameterizedTest
    @CsvSource({
        // seconds from the second loss to each of the changes of leader, changes, and seconds until the first trial:
        // negative once its time has passed, empty once the request is forgotten
        "1, 1, 59",
        "1, 4, 56",
        "25, 2, 10",
        "31, 2, -2",
        "61, 1, -1",
        "40, 2, -20",
        "59, 2, -58",
        "61, 2,",
        "125, 1,",
    })
    void newLeaderKeepsQuarantinedRequestsForTheirTime(long changeSeconds, int changes, Long untilTrialSeconds) {
        long nowNanos = 0;
        CrashQuarantine leader = newLeader();
        leader.recordLoss(loss("vm-1", nowNanos));
        leader.recordLoss(loss("vm-2", nowNanos));
        assertThat(leader.decideLosses(nowNanos)).hasSize(2);
        List<QuarantinedRequestRecord> known = pull(leader, List.of(), nowNanos);
        assertThat(known).hasSize(1);

        for (int change = 0; change < changes; change++) {
            nowNanos += TimeUnit.SECONDS.toNanos(changeSeconds);
            final List<QuarantinedRequestRecord> latest = leader.quarantinedRequests(ENTRY_NODE, nowNanos);
            nowNanos += CLOCK_DIFFERENCE_NANOS;
            leader = newLeader();
            known = pull(leader, latest, nowNanos);
        }

        assertThat(known.stream()
                        .map(record -> record.getRequestDigest() + " " + record.getRemainingMs())
                        .toList())
                .isEqualTo(
                        untilTrialSeconds == null
                                ? List.of()
                                : List.of(DIGEST + " " + TimeUnit.SECONDS.toMillis(untilTrialSeconds)));
    }

    private static CrashQuarantine newLeader() {
        return new CrashQuarantine(
                PULL_NANOS, new LossEvidence(HEARTBEAT_NANOS, 0), endpoint -> Optional.empty(), new EventLog());
    }

    private static ReportedLoss loss(String vm, long nowNanos) {
        return new ReportedLoss(
                new EndpointIncarnation(EndpointId.of(vm), 1), DIGEST, ImmutableSet.of(), nowNanos, false);
    }

    private static List<QuarantinedRequestRecord> pull(
            CrashQuarantine leader, List<QuarantinedRequestRecord> known, long nowNanos) {
        leader.recordReport(ENTRY_NODE, List.of(), List.of(), List.of(), known, List.of(), List.of(), true, nowNanos);
        return leader.quarantinedRequests(ENTRY_NODE, nowNanos);
    }
}
