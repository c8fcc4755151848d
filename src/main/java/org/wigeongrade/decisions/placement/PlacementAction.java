package org.wigeongrade.decisions.placement;

import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.ids.GroupName;

/** One action of a placement plan. Immutable; safe for use from any thread. */
public sealed interface PlacementAction {
    /** Returns why the planner decided on the action. */
    PlacementReason reason();

    /** Propose the command that forms the group to the log. */
    record FormGroup(Command.FormGroup command, PlacementReason reason) implements PlacementAction {}

    /** Propose the command that dissolves the group to the log. */
    record DissolveGroup(Command.DissolveGroup command, PlacementReason reason) implements PlacementAction {}

    /** Send the order; every plan repeats it until the VM announces that it follows it. */
    record SendOrder(Order order, PlacementReason reason) implements PlacementAction {}

    /** Take no action on the group for now; the reason is kept so that operators can query it. */
    record Hold(GroupName group, PlacementReason reason) implements PlacementAction {}
}
