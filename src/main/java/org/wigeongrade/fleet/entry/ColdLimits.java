package org.wigeongrade.fleet.entry;

import org.wigeongrade.decisions.balancing.BalancingLimits;
import org.wigeongrade.decisions.published.PublishedService;

/**
 * Divides what a cold endpoint bears among the entry nodes. Immutable; safe for use from any thread.
 *
 * @param burstFactor factor on the published rate that still counts as bearable
 * @param marginPerSecond requests a second beside that factor
 */
record ColdLimits(double burstFactor, double marginPerSecond) {
    /** Part of the bound that is used: requests that were sent in one second may arrive in the next. */
    private static final double USED_PART = 0.7;

    BalancingLimits limitsFor(PublishedService service, int entryNodes) {
        if (service.coldRatePerSecond() <= 0) {
            return new BalancingLimits(Double.MAX_VALUE, entryNodes);
        }
        final double bound = service.coldRatePerSecond() * burstFactor + marginPerSecond;
        return new BalancingLimits(USED_PART * bound / Math.max(1, entryNodes), entryNodes);
    }
}
