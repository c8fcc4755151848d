package org.wigeongrade.fleet.entry;

import java.util.random.RandomGenerator;
import org.wigeongrade.clock.LeaseClock;
import org.wigeongrade.clock.LeaseTime;
import org.wigeongrade.clock.WaitClock;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.RetryBudgetShare;
import org.wigeongrade.decisions.overload.RankedTargets;
import org.wigeongrade.fleet.net.SharedEventLoop;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/**
 * Objects that all exchanges of an entry node share. Used on the event loop only.
 *
 * @param maxKeyAgeNanos maximum age of the view at which requests with API keys are sent
 * @param configApplyNanos time in which an accepted configuration must be in force on every node
 */
record EntryServices(
        AvailabilityZone zone,
        SharedEventLoop loop,
        CallerCodec codec,
        EndpointRegistry registry,
        EndpointConnectionPool connectionPool,
        EndpointLinks endpointLinks,
        RelayPeers relayPeers,
        BufferedBodies bufferedBodies,
        Balancer balancer,
        RankedTargets rankedTargets,
        RetryBudgetShare retryBudget,
        ColdStartLimits coldStartLimits,
        RandomGenerator random,
        EventLog events,
        Metrics metrics,
        WaitClock waitClock,
        LeaseClock leaseClock,
        long maxKeyAgeNanos,
        long configApplyNanos) {
    long nowNanos() {
        return waitClock.nowNanos();
    }

    LeaseTime leaseNow() {
        return leaseClock.now();
    }

    /**
     * Returns whether the view shows every configuration that must be in force now, so that what it does not contain is
     * known to be absent.
     */
    boolean viewIsCurrent(LeaseTime now) {
        return now.nanosSince(registry.view().pullSent()) < configApplyNanos;
    }

    /** Returns whether the view is so recent that no API key in it can have been revoked longer ago than allowed. */
    boolean keysAreFresh(LeaseTime now) {
        return registry.view().configuration().isPresent()
                && now.nanosSince(registry.view().pullSent()) < maxKeyAgeNanos;
    }
}
