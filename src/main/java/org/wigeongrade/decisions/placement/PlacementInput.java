package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.PlacementState;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;

/**
 * The input of {@link PlacementPlanner}. {@code lastToken} is the last fencing token in the log. {@code announcements}
 * have valid leases at {@code nowNanos}. {@code dissolvedGroups} were dissolved and have not been formed again.
 *
 * <p>Invariant: the planner counts no member as lost before {@code membersKnownAtNanos}, since a new leader may not
 * have received an announcement from every VM yet. It sends no order to endpoints that ignore fencing tokens before
 * {@code previousLeaderOrdersEndNanos}, since an order of the previous leader may still arrive. Immutable; safe for use
 * from any thread.
 */
public record PlacementInput(
        DeclaredSet declaredSet,
        Map<AvailabilityZone, ZoneState> zones,
        List<FormedGroup> groups,
        Set<GroupName> dissolvedGroups,
        FencingToken lastToken,
        List<Announcement> announcements,
        long term,
        long nowNanos,
        long nowEpochMs,
        long membersKnownAtNanos,
        long previousLeaderOrdersEndNanos) {
    /** Largest sequence for which an announced token counts in {@link #largestToken}. */
    static final long MAX_ANNOUNCED_SEQUENCE = 1L << 48;

    public PlacementInput {
        zones = ImmutableMap.copyOf(zones);
        groups = List.copyOf(groups);
        dissolvedGroups = Set.copyOf(dissolvedGroups);
        announcements = List.copyOf(announcements);
    }

    /** Returns the input for a leader's control state and announcement table. */
    public static PlacementInput of(
            ControlState state,
            AnnouncementTable announcements,
            long term,
            long nowNanos,
            long nowEpochMs,
            long membersKnownAtNanos,
            long previousLeaderOrdersEndNanos) {
        final PlacementState facts = state.placementState();
        return new PlacementInput(
                facts.declaredSet(),
                facts.zones(),
                facts.groups(),
                facts.dissolvedGroups(),
                facts.lastToken(),
                announcements.live(nowNanos),
                term,
                nowNanos,
                nowEpochMs,
                membersKnownAtNanos,
                previousLeaderOrdersEndNanos);
    }

    /**
     * Returns the largest token in the log or announced by any VM. New tokens are larger, so VMs that followed orders
     * of a lost control state also follow the new ones. Announced tokens whose sequence is above
     * {@link #MAX_ANNOUNCED_SEQUENCE} are ignored.
     */
    FencingToken largestToken() {
        return announcements.stream()
                .map(Announcement::orderToken)
                .filter(token -> token.sequence() <= MAX_ANNOUNCED_SEQUENCE)
                .reduce(lastToken, (left, right) -> left.compareTo(right) >= 0 ? left : right);
    }

    /** Returns whether members without a live announcement count as lost. */
    boolean missingMembersAreLost() {
        return nowNanos - membersKnownAtNanos >= 0;
    }

    /** Returns whether no order of a previous leader can arrive any more. */
    boolean previousLeaderOrdersEnded() {
        return nowNanos - previousLeaderOrdersEndNanos >= 0;
    }
}
