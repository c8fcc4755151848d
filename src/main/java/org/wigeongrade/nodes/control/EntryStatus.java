package org.wigeongrade.nodes.control;

import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.NodeName;
import org.wigeongrade.ids.Revision;

/**
 * The last report of an entry VM to the leader. {@code leaseEndsNanos} is on the leader's monotonic clock, and is never
 * before the entry VM's own lease ends. Immutable; safe for use from any thread.
 */
record EntryStatus(
        NodeName node,
        AvailabilityZone zone,
        long incarnation,
        Revision revisionInForce,
        boolean stopping,
        String callerAddress,
        long seenAtNanos,
        long leaseEndsNanos) {}
