package org.wigeongrade.nodes.control;

import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.Revision;

/**
 * What the leader last heard from an entry VM. {@code leaseEndsNanos} is on the leader's monotonic clock and no earlier
 * than the end of the lease on the entry VM. Immutable; safe for use from any thread.
 */
record EntrySeen(
        NodeName node,
        AvailabilityZone zone,
        long incarnation,
        Revision revisionInForce,
        boolean stopping,
        String callerAddress,
        long seenAtNanos,
        long leaseEndsNanos) {}
