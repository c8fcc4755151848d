package org.wigeongrade.fleet.entry;

import org.wigeongrade.decisions.balancing.BalancingLimits;
import org.wigeongrade.decisions.published.PublishedService;

/**
 * Divides the request rate that an endpoint sustains during its cold start among the entry nodes. Immutable; safe for
 * use from any thread.
 *
 * @param burstFactor multiple of the published rate that an endpoint still sustains
 * @param marginPerSecond requests a second that are allowed on top of that multiple
 */
record ColdStartLimits(double burstFactor, double marginPerSecond) {
    /** Fraction of the limit that is used, because requests that are sent in one second may arrive in the next. */
    private static final double USED_FRACTION = 0.7;

    BalancingLimits limitsFor(PublishedService service, int entryNodes) {
        if (service.coldRatePerSecond() <= 0) {
            return new BalancingLimits(Double.MAX_VALUE, entryNodes);
        }
        final double bound = service.coldRatePerSecond() * burstFactor + marginPerSecond;
        return new BalancingLimits(USED_FRACTION * bound / Math.max(1, entryNodes), entryNodes);
    }
}
