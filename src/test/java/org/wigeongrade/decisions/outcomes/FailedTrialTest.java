package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import com.google.common.collect.ImmutableSet;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.ids.EndpointId;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.PromptPartId;

/** Tests which losses count as the result of a trial, of a prompt part and of a request. */
final class FailedTrialTest {
    private static final NodeName ENTRY_NODE = NodeName.of("entry-1");
    private static final PromptPartId PART = PromptPartId.of("part");
    private static final String DIGEST = "digest";
    private static final long PULL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
    private static final long TRIAL_STARTED_S = 100;

    private final CrashAttribution leader = new CrashAttribution(PULL_NANOS);

    /** Guards against a trial whose crash counts for nothing as it is reported late, and one that fails by an older crash. */
    @ParameterizedTest
    @CsvSource({
        // seconds from the start of the trial to the loss, and to its report; failed trials
        "0, 1, 1",
        "1, 1, 1",
        "5, 8, 1",
        "-1, 1, 0",
        "-1, 8, 0",
    })
    void lossCountsIfItOccurredSinceTheTrialBegan(long lostS, long reportedS, int failedTrials) {
        leader.adopt(new PartQuarantine(PART, nanos(0), 0, false), nanos(0));
        leader.adoptRequest(new QuarantinedRequest(DIGEST, nanos(0), 0, false), nanos(0));
        leader.recordRefused(ENTRY_NODE, PART, nanos(0));
        leader.recordRefusedRequest(ENTRY_NODE, DIGEST, nanos(0));
        update(0);
        assertThat(leader.quarantinedParts(ENTRY_NODE).get(0).onTrial()).isTrue();
        assertThat(leader.quarantinedRequests(ENTRY_NODE).get(0).onTrial()).isTrue();

        update(reportedS);
        // A loss counts once, whoever reports it again.
        for (int report = 0; report < 2; report++) {
            leader.recordLoss(
                    new ReportedLoss(
                            new EndpointIncarnation(EndpointId.of("vm-1"), 1),
                            DIGEST,
                            ImmutableSet.of(PART),
                            nanos(lostS),
                            false),
                    nanos(reportedS));
        }

        assertThat(leader.quarantinedParts(ENTRY_NODE).get(0).failedTrials()).isEqualTo(failedTrials);
        assertThat(leader.quarantinedRequests(ENTRY_NODE).get(0).failedTrials()).isEqualTo(failedTrials);
    }

    private void update(long sinceTrialS) {
        assertThat(leader.update(nanos(sinceTrialS))).isTrue();
    }

    private static long nanos(long sinceTrialS) {
        return TimeUnit.SECONDS.toNanos(TRIAL_STARTED_S + sinceTrialS);
    }
}
