package org.wigeongrade.decisions.placement;

import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.ids.GroupName;

/** One thing that the planner decided. Immutable; safe for use from any thread. */
public sealed interface PlacementAction {
    /** Returns why. */
    PlacementReason reason();

    /** Propose the command to the log. */
    record FormGroup(Command.FormGroup command, PlacementReason reason) implements PlacementAction {}

    /** Propose the command to the log. */
    record DissolveGroup(Command.DissolveGroup command, PlacementReason reason) implements PlacementAction {}

    /** Send the order; it comes again with each plan until the VM announces that it follows it. */
    record SendOrder(Order order, PlacementReason reason) implements PlacementAction {}

    /** Do nothing about the group for now; kept for operators who ask why. */
    record Hold(GroupName group, PlacementReason reason) implements PlacementAction {}
}
