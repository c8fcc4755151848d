package org.wigeongrade.decisions.outcomes;

import java.util.Optional;
import org.wigeongrade.clock.LeaseTime;

/**
 * The final check, made right before the first byte of a request is handed to a connection. A process that was paused
 * between its earlier decisions and this check finds the deadlines passed and does not send. Stateless; safe for use
 * from any thread.
 */
public final class PreSendCheck {
    private PreSendCheck() {}

    /** Returns why the request must not be sent; empty if it may be. */
    public static Optional<SendRefusal> check(SendDeadlines deadlines, long nowNanos, LeaseTime leaseNow) {
        return SendRule.ALL.stream()
                .filter(rule -> rule.refuses(deadlines, nowNanos, leaseNow))
                .map(SendRule::refusal)
                .findFirst();
    }
}
