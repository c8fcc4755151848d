package org.wigeongrade.decisions.grouping;

import org.wigeongrade.decisions.published.GroupedModel;

/** Computes the target number of groups of a model. Stateless. */
final class TargetGroupCount {
    /** Ratio of VMs that are kept as warm spares: one in six covers a loss in most fabric domains at once. */
    private static final double SPARE_RATIO = 1.0 / 6;

    /**
     * Ratio of the target count below which a model is short of capacity; the shares leave about a third in reserve.
     */
    static final double SHORTAGE_RATIO = 0.67;

    private TargetGroupCount() {}

    /**
     * Returns the number of groups that the model's share of the usable VMs can form, without the spares; at least one.
     */
    static int of(GroupedModel model, int usableVms) {
        return Math.max(1, (int) (model.share() * usableVms * (1 - SPARE_RATIO) / model.groupSize()));
    }
}
