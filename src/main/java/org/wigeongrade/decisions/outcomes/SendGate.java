package org.wigeongrade.decisions.outcomes;

import java.util.Optional;

/**
 * The last check, made right before the first byte of a request is given to a connection. A process that was frozen wakes
 * up behind it and does not send. Stateless; safe for use from any thread.
 */
public final class SendGate {
    private SendGate() {}

    /** Returns why the request must not be sent; empty if it may be. */
    public static Optional<SendRefusal> check(SendFacts facts, long nowNanos) {
        return SendRule.ALL.stream()
                .filter(rule -> rule.refuses(facts, nowNanos))
                .map(SendRule::refusal)
                .findFirst();
    }
}
