package org.wigeongrade.bench;

/** What limits the work sent to endpoints in {@link OverloadSimulation}. */
public enum OverloadMechanism {
    NEITHER,
    RETRY_BUDGET,
    SHARES,
    SHARES_AND_RETRY_BUDGET;

    boolean hasShares() {
        return this == SHARES || this == SHARES_AND_RETRY_BUDGET;
    }

    boolean hasRetryBudget() {
        return this == RETRY_BUDGET || this == SHARES_AND_RETRY_BUDGET;
    }
}
