package org.wigeongrade.decisions.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.wigeongrade.ids.NodeName;

/**
 * The leader's ledger of shares: cuts each bound into shares that entry VMs hold until a deadline.
 *
 * <p>Invariant: for each key the shares that are live or not yet reclaimed sum to the bound at most. A share moves only
 * after its holder reported that it holds less, or after its deadline passed and the work begun under it ended. A new
 * leader starts with an empty ledger: it honours what holders report and gives out nothing else until the older leases
 * have passed. All times are on the leader's monotonic clock, in nanoseconds.
 *
 * <p>Thread safety: all methods lock the ledger, which is a leaf: nothing else is locked inside.
 */
public final class ShareLedger {
    /** Part of the lease that the leader adds on its side for clocks that run at different speeds. */
    private static final long DRIFT_MARGIN_DIVISOR = 100;

    private final long leaseNanos;
    private final long olderLeasesEndNanos;
    private final Map<ShareKey, KeyLedger> keys = new HashMap<>();

    /**
     * @param leaseNanos life of each grant, in nanoseconds
     * @param olderLeasesEndNanos time after which no grant of an older leader is valid
     */
    public ShareLedger(long leaseNanos, long olderLeasesEndNanos) {
        this.leaseNanos = leaseNanos;
        this.olderLeasesEndNanos = olderLeasesEndNanos;
    }

    /** Adds a bounded thing, or changes its bound; {@code warmth} counts only when the key is new. */
    public synchronized void setBound(ShareKey key, ShareBound bound, Warmth warmth) {
        KeyLedger known = keys.get(key);
        if (known == null) {
            keys.put(key, new KeyLedger(key, bound, warmth, olderLeasesEndNanos));
            return;
        }
        known.setBound(bound);
    }

    /** Forgets a bounded thing that is gone for good, such as an endpoint that nobody may be sent to any more. */
    public synchronized void remove(ShareKey key) {
        keys.remove(key);
    }

    /** Lowers the endpoint to its cold slots, held by its named cold holder alone. */
    public synchronized void coldSign(ShareKey key) {
        Optional.ofNullable(keys.get(key)).ifPresent(KeyLedger::coldSign);
    }

    /**
     * Takes in a holder's report and returns its new grant; empty if the key is unknown or the report is older than one
     * already taken in, and then the holder keeps what it has until its deadline.
     */
    public synchronized Optional<ShareGrant> report(
            NodeName holder, long holderIncarnation, ShareReport report, long nowNanos) {
        KeyLedger known = keys.get(report.key());
        if (known == null) {
            return Optional.empty();
        }
        return known.report(holder, holderIncarnation, report, nowNanos, leaseNanos, marginNanos());
    }

    /**
     * Takes in an endpoint's own report of the requests that it runs or holds waiting.
     *
     * @param running requests running or waiting there
     * @param notBeforeNanos time before which the endpoint cannot have made the report, less the longest time that a
     *     request may be under way to it: a request that it has not received yet is not in its count
     */
    public synchronized void endpointReport(ShareKey key, int running, long notBeforeNanos, long nowNanos) {
        KeyLedger known = keys.get(key);
        if (known != null) {
            known.endpointRuns(running, notBeforeNanos, nowNanos);
        }
    }

    /** Returns the slots that are or may be in use; 0 for an unknown key. */
    public synchronized int chargedSlots(ShareKey key, long nowNanos) {
        KeyLedger known = keys.get(key);
        return known == null ? 0 : known.charged(nowNanos);
    }

    /** Returns the slots that may be given out now: fewer than the bound while the endpoint is cold. */
    public synchronized int boundSlots(ShareKey key) {
        KeyLedger known = keys.get(key);
        return known == null ? 0 : known.slots();
    }

    /** Returns the entry VM that alone may send to the endpoint once it turns cold. */
    public synchronized Optional<NodeName> coldHolder(ShareKey key) {
        KeyLedger known = keys.get(key);
        return known == null ? Optional.empty() : known.coldHolder();
    }

    private long marginNanos() {
        return leaseNanos / DRIFT_MARGIN_DIVISOR;
    }
}
