package org.wigeongrade.decisions.grouping;

import org.wigeongrade.decisions.published.GroupedModel;

/** How many groups of a model are wanted. Stateless. */
final class WantedGroups {
    /** Part of the VMs that is kept as warm spares: one in six bears a loss in most fabric domains at once. */
    private static final double SPARE_PART = 1.0 / 6;

    /** Part of the wanted groups below which a model is short of capacity: the shares leave about a third in reserve. */
    static final double FEW_PART = 0.67;

    private WantedGroups() {}

    /** Returns the groups that the model's share of the usable VMs makes; at least one. */
    static int of(GroupedModel model, int usableVms) {
        return Math.max(1, (int) (model.share() * usableVms * (1 - SPARE_PART) / model.groupSize()));
    }
}
