package org.wigeongrade.decisions.discovery;

import org.wigeongrade.ids.GroupName;

/**
 * A VM's place in a group, as it reports it. Immutable; safe for use from any thread.
 *
 * @param epoch number of the order that formed the group
 * @param rank 0 for the head
 */
public record GroupReport(GroupName group, long epoch, int rank, GroupState state) {}
