package org.wigeongrade.bench;

/**
 * Counts of one run. {@code warmOverloads} are sends that made an endpoint run more than its capacity; {@code
 * coldOverloads} are sends to an endpoint cold for longer than the detection time that made it run more than its cold
 * capacity. Immutable; safe for use from any thread.
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
