package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.GroupName;

/**
 * A VM's membership in a group as the VM reports it. Immutable; safe for use from any thread.
 *
 * @param epoch number of the group's formation
 * @param rank position in the list of members; 0 for the head
 */
public record GroupReport(GroupName group, long epoch, int rank, GroupState state) {}
