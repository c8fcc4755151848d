package org.wigeongrade.decisions.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.wigeongrade.errors.RunStatus;
import org.wigeongrade.ids.ServiceName;

/** Which requests may be retried, and how many retries the budget allows. */
final class RetriesTest {
    private static final RouteTarget TARGET = RouteTarget.of(ServiceName.of("ledger"));
    private static final long SECOND_NANOS = 1_000_000_000L;

    @ParameterizedTest(name = "{0}, idempotent {1}, resumable {2}, {3} of 3 attempts, {4} ms left: {5}")
    @CsvSource({
        "NOT_RUN, false, true, 1, 1000, ",
        "NOT_RUN, true, true, 1, 1000, ",
        "UNKNOWN, true, true, 1, 1000, ",
        "UNKNOWN, false, true, 1, 1000, MAY_HAVE_RUN",
        "COMPLETED, true, true, 1, 1000, ALREADY_ANSWERED",
        "COMPLETED, false, true, 1, 1000, ALREADY_ANSWERED",
        "UNKNOWN, true, false, 1, 1000, ANSWER_NOT_RESUMABLE",
        "NOT_RUN, true, true, 3, 1000, ATTEMPTS_EXHAUSTED",
        "NOT_RUN, true, true, 1, 49, DEADLINE_TOO_NEAR",
        "NOT_RUN, true, true, 1, -1, DEADLINE_TOO_NEAR",
    })
    void rulesRefuseRetries(
            RunStatus claim,
            boolean idempotent,
            boolean resumable,
            int attemptsMade,
            long leftMs,
            RetryRefusal expected) {
        Retries retries = new Retries(new RetryBudget(0.1, 5));
        RetryFacts facts = new RetryFacts(
                TARGET, claim, idempotent, resumable, attemptsMade, attemptsMade, 3, leftMs * 1_000_000, 0);
        assertThat(retries.refusal(facts)).isEqualTo(Optional.ofNullable(expected));
    }

    @Test
    void budgetIsReservePlusFractionOfFirstAttempts() {
        Retries retries = new Retries(new RetryBudget(0.1, 2));
        RetryFacts facts = new RetryFacts(TARGET, RunStatus.NOT_RUN, true, true, 1, 1, 3, SECOND_NANOS, 0);
        int taken = 0;
        for (int i = 0; i < 1_000; i++) {
            retries.recordFirstAttempt(TARGET);
            taken += retries.refusal(facts).isEmpty() ? 1 : 0;
        }
        assertThat(taken).isAtMost(102);
        assertThat(taken).isAtLeast(100);
        assertThat(retries.refusal(facts)).isEqualTo(Optional.of(RetryRefusal.RETRY_BUDGET_SPENT));
    }
}
