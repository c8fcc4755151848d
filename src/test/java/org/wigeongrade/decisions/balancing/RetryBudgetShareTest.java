package org.wigeongrade.decisions.balancing;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RetryBudgetShareTest {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(10);

    @ParameterizedTest
    @CsvSource({
        // requests, slack of the fleet, entry nodes, allowed retries
        "0, 70, 7, 8",
        "100, 70, 7, 24",
        "100, 0, 7, 16",
        "0, 0, 7, 0",
    })
    void limitsRetriesToShareOfNode(int requests, double slack, int entryNodes, int allowed) {
        final RetryBudgetShare budget = new RetryBudgetShare(0.2, slack, WINDOW_NANOS);
        for (int i = 0; i < requests; i++) {
            budget.recordRequest(0);
        }
        int retried = 0;
        for (int i = 0; i < 500; i++) {
            retried += budget.tryRetry(entryNodes, 1) ? 1 : 0;
        }

        assertThat(retried).isEqualTo(allowed);
    }

    @Test
    void budgetIsRestoredAfterTheWindow() {
        final RetryBudgetShare budget = new RetryBudgetShare(0, 10, WINDOW_NANOS);
        while (budget.tryRetry(1, 0)) {
            assertThat(budget).isNotNull();
        }

        assertThat(budget.tryRetry(1, WINDOW_NANOS - 1)).isFalse();
        assertThat(budget.tryRetry(1, WINDOW_NANOS)).isTrue();
    }
}
