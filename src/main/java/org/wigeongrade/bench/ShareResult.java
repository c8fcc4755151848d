package org.wigeongrade.bench;

/**
 * Counts of one run. {@code warmOverloads} counts sends that made an endpoint run more requests than its capacity.
 * {@code coldOverloads} counts sends that made an endpoint run more requests than its cold capacity although it had
 * been cold for longer than the detection time. Immutable; safe for use from any thread.
 */
public record ShareResult(
        long offered,
        long sent,
        long completed,
        long warmOverloads,
        long coldOverloads,
        long coldSends,
        int highestInFlight,
        long ledgerOverBound,
        long leaderChanges,
        long entryVmFaults,
        long coldStarts) {
    static final ShareResult NONE = new ShareResult(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);

    ShareResult plus(ShareResult other) {
        return new ShareResult(
                offered + other.offered,
                sent + other.sent,
                completed + other.completed,
                warmOverloads + other.warmOverloads,
                coldOverloads + other.coldOverloads,
                coldSends + other.coldSends,
                Math.max(highestInFlight, other.highestInFlight),
                ledgerOverBound + other.ledgerOverBound,
                leaderChanges + other.leaderChanges,
                entryVmFaults + other.entryVmFaults,
                coldStarts + other.coldStarts);
    }
}
