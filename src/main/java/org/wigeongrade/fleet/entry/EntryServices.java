package org.wigeongrade.fleet.entry;

import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.wigeongrade.decisions.balancing.Balancer;
import org.wigeongrade.decisions.balancing.RetryAllowance;
import org.wigeongrade.fleet.net.EventLoop;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.logging.EventLog;
import org.wigeongrade.metrics.Metrics;

/**
 * What every exchange of one entry node uses. Used on the event loop only.
 *
 * @param keyedNanos longest age of a view on which requests with keys are sent
 */
record EntryServices(
        AvailabilityZone zone,
        EventLoop loop,
        CallerCodec codec,
        EndpointFleet fleet,
        EndpointConnections connections,
        Balancer balancer,
        RetryAllowance allowance,
        ColdLimits coldLimits,
        RandomGenerator random,
        EventLog events,
        Metrics metrics,
        LongSupplier nanoClock,
        long keyedNanos) {
    long nowNanos() {
        return nanoClock.getAsLong();
    }

    /** Returns whether the view is so new that no key in it can have been taken away for too long. */
    boolean keysAreFresh(long nowNanos) {
        return fleet.view().configuration().isPresent()
                && nowNanos - fleet.view().sentNanos() < keyedNanos;
    }
}
