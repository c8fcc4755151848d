package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;

/** One rule that dissolves groups. Implementations are stateless and safe for use from any thread. */
interface DissolveRule {
    /** Returns the reason code. */
    PlacementReason reason();

    /** Returns whether the group still serves when the rule finds it, so that groups are replaced one at a time. */
    boolean replacesServingGroup();

    /** Returns what speaks against the group, as a detail for operators; empty if the rule finds nothing. */
    Optional<String> find(FormedGroup group, PlacementView view);
}
