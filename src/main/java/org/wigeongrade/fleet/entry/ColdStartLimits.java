package org.wigeongrade.fleet.entry;

import org.wigeongrade.decisions.balancing.BalancingLimits;
import org.wigeongrade.decisions.published.PublishedService;

/**
 * Divides the request rate that an endpoint sustains during its cold start among the entry nodes. Immutable; safe for
 * use from any thread.
 *
 * @param burstFactor multiple of the published rate that an endpoint still sustains
 * @param marginPerSecond requests a second that are allowed on top of that multiple
 * @param nodeHash hash of this node's name
 */
record ColdStartLimits(double burstFactor, double marginPerSecond, int nodeHash) {
    /** Fraction of the limit that is used, because requests that are sent in one second may arrive in the next. */
    private static final double USED_FRACTION = 0.7;
    /**
     * Fraction of the limit that is used where each node's share is less than one request a second. How many nodes then
     * may send varies by chance from endpoint to endpoint.
     */
    private static final double USED_FRACTION_OF_MANY_NODES = 0.5;

    BalancingLimits limitsFor(PublishedService service, int entryNodes) {
        if (service.coldRatePerSecond() <= 0) {
            return new BalancingLimits(Double.MAX_VALUE, entryNodes, nodeHash);
        }
        final double bound = service.coldRatePerSecond() * burstFactor + marginPerSecond;
        final double share = bound / Math.max(1, entryNodes);
        final double used = USED_FRACTION * share >= 1 ? USED_FRACTION : USED_FRACTION_OF_MANY_NODES;
        return new BalancingLimits(used * share, entryNodes, nodeHash);
    }
}
