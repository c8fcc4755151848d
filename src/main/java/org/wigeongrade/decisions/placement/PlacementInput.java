package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.wigeongrade.decisions.config.DeclaredSet;
import org.wigeongrade.decisions.control.ControlState;
import org.wigeongrade.decisions.control.FormedGroup;
import org.wigeongrade.decisions.control.PlacementFacts;
import org.wigeongrade.decisions.control.ZoneState;
import org.wigeongrade.decisions.membership.Announcement;
import org.wigeongrade.decisions.membership.AnnouncementTable;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.FencingToken;
import org.wigeongrade.ids.GroupName;

/**
 * What the planner decides from. {@code announcements} have valid leases at {@code nowNanos}. {@code dissolvedGroups}
 * were dissolved and not formed again.
 *
 * <p>Invariant: the planner counts no member as lost before {@code membersKnownAtNanos}, since a new leader has not
 * heard of every VM yet, and gives no order to endpoints that ignore fencing tokens before {@code
 * oldLeaderOrdersEndNanos}. Immutable; safe for use from any thread.
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
        long oldLeaderOrdersEndNanos) {
    /** Largest sequence of an announced token that is taken into account. */
    static final long MAX_ANNOUNCED_SEQUENCE = 1L << 48;

    public PlacementInput {
        zones = ImmutableMap.copyOf(zones);
        groups = List.copyOf(groups);
        dissolvedGroups = Set.copyOf(dissolvedGroups);
        announcements = List.copyOf(announcements);
    }

    /** Reads the input from a leader's state and announcement table. */
    public static PlacementInput of(
            ControlState state,
            AnnouncementTable announcements,
            long term,
            long nowNanos,
            long nowEpochMs,
            long membersKnownAtNanos,
            long oldLeaderOrdersEndNanos) {
        final PlacementFacts facts = state.placementFacts();
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
                oldLeaderOrdersEndNanos);
    }

    /**
     * Returns the largest token in the log or followed by any VM, so that VMs which followed orders of a control state
     * that was lost follow the new ones. Announced sequences past {@link #MAX_ANNOUNCED_SEQUENCE} are not believed.
     */
    FencingToken largestToken() {
        return announcements.stream()
                .map(Announcement::orderToken)
                .filter(token -> token.sequence() <= MAX_ANNOUNCED_SEQUENCE)
                .reduce(lastToken, (one, other) -> one.compareTo(other) >= 0 ? one : other);
    }

    /** Returns whether the members that are missing now count as lost. */
    boolean knowsMembers() {
        return nowNanos - membersKnownAtNanos >= 0;
    }

    /** Returns whether every order of an earlier leader has arrived or never will. */
    boolean oldLeaderOrdersEnded() {
        return nowNanos - oldLeaderOrdersEndNanos >= 0;
    }
}
