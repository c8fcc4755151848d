package org.wigeongrade.decisions.grouping;

import org.wigeongrade.decisions.published.GroupedModel;

/** Computes the target number of groups of a model. Stateless. */
final class TargetGroupCount {
    /** Fraction of the VMs kept as warm spares: one in six covers a loss in most fabric domains at the same time. */
    private static final double SPARE_FRACTION = 1.0 / 6;

    /**
     * Ratio of the number of groups to the target below which a model is short of capacity; the shares leave about a
     * third of the capacity in reserve.
     */
    static final double SHORTAGE_RATIO = 0.67;

    private TargetGroupCount() {}

    /**
     * Returns the number of groups that the model's share of the usable VMs can form, without the spares; at least one.
     */
    static int of(GroupedModel model, int usableVms) {
        return Math.max(1, (int) (model.share() * usableVms * (1 - SPARE_FRACTION) / model.groupSize()));
    }
}
