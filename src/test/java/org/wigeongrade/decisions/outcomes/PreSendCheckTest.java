package org.wigeongrade.decisions.outcomes;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.OptionalLong;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.errors.RunStatus;

/** The final check at time 100, with the deadlines of the view lease, serving lease, slot, claim and attempt. */
final class PreSendCheckTest {
    @ParameterizedTest
    @CsvSource({
        "101, 101, 101, 101, 101, ",
        "101, 101, 101, , 101, ",
        "100, 101, 101, 101, 101, VIEW_LEASE_ENDED",
        "101, 100, 101, 101, 101, SEND_SERVING_LEASE_ENDED",
        "101, 101, 100, 101, 101, SLOT_DEADLINE_PASSED",
        "101, 101, 101, 100, 101, CLAIM_DEADLINE_PASSED",
        "101, 101, 101, 101, 100, ATTEMPT_DEADLINE_PASSED",
        "9, 9, 9, 9, 9, VIEW_LEASE_ENDED",
    })
    void refusesAPassedDeadline(long view, long serving, long slot, Long claim, long attempt, SendRefusal expected) {
        OptionalLong claimDeadline = claim == null ? OptionalLong.empty() : OptionalLong.of(claim);
        SendDeadlines facts =
                new SendDeadlines(new LeaseTime(view), new LeaseTime(serving), slot, claimDeadline, attempt);
        assertThat(PreSendCheck.check(facts, 100, new LeaseTime(100))).isEqualTo(Optional.ofNullable(expected));
    }

    @ParameterizedTest
    @EnumSource(SendRefusal.class)
    void refusalsReportNotRun(SendRefusal refusal) {
        assertThat(refusal.errorKind().runStatus()).isEqualTo(RunStatus.NOT_RUN);
    }
}
