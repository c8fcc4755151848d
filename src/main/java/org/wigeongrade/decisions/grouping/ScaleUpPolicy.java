package org.wigeongrade.decisions.grouping;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;

/**
 * Decides when a model gets another group because its groups are almost fully used.
 *
 * <p>Invariant: groups are added one at a time, because requests need a while to spread to a new group. Time is a
 * parameter. Not thread safe.
 */
final class ScaleUpPolicy {
    /**
     * Ratio of used slots at and above which first events arrive late, because an engine slows down with each request
     * that it runs.
     */
    private static final double HIGH_SLOT_USAGE = 0.7;
    /** Minimum time between adding two groups: long enough to form one and for its share of the requests to arrive. */
    private static final long COOLDOWN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private long lastAddedNanos = Long.MIN_VALUE;

    /** Returns whether one more group of the model may be added now. */
    boolean shouldAddGroup(
            EngineProfile engine, GroupedModel model, List<ManagedGroup> groups, PlanningContext context) {
        final boolean coolingDown =
                lastAddedNanos != Long.MIN_VALUE && context.nowNanos() - lastAddedNanos < COOLDOWN_NANOS;
        return !coolingDown && slotUsage(engine, model, groups, context) >= HIGH_SLOT_USAGE;
    }

    void recordAddedGroup(long nowNanos) {
        lastAddedNanos = nowNanos;
    }

    /** Returns the ratio of used slots to all slots over the model's routable groups; 0 if there are none. */
    private static double slotUsage(
            EngineProfile engine, GroupedModel model, List<ManagedGroup> groups, PlanningContext context) {
        final List<ManagedGroup> serving = groups.stream()
                .filter(group ->
                        group.phase().isRoutable() && group.model.name().equals(model.name()))
                .toList();
        final int running = serving.stream()
                .mapToInt(group -> context.observationOf(group.head()).inFlight())
                .sum();
        return serving.isEmpty() ? 0 : (double) running / (serving.size() * engine.slots());
    }
}
