package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.GroupName;

/**
 * A VM's membership in a group as the VM reports it. Immutable; safe for use from any thread.
 *
 * <p>Invariant: the epoch is within {@link HeartbeatBounds}; otherwise, the constructor throws {@link
 * IllegalArgumentException}.
 *
 * @param epoch number of the group's formation
 * @param rank position in the list of members; 0 for the head
 */
public record GroupReport(GroupName group, long epoch, int rank, GroupState state) {
    public GroupReport {
        HeartbeatBounds.EPOCH.check(epoch);
    }
}
