package org.wigeongrade.decisions.placement;

import java.util.Optional;
import org.wigeongrade.decisions.control.FormedGroup;

/**
 * A rule that determines whether a group has to be dissolved. Implementations are stateless and safe for use from any
 * thread.
 */
interface DissolveRule {
    /** Returns the reason code. */
    PlacementReason reason();

    /** Returns whether the rule applies to groups that still serve; these are replaced one at a time in each pool. */
    boolean replacesServingGroup();

    /** Returns a detail for operators if the group has to be dissolved; empty if the rule does not apply. */
    Optional<String> find(FormedGroup group, PlacementView view);
}
