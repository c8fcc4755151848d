package org.wigeongrade.decisions.grouping;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wigeongrade.decisions.published.EngineProfile;
import org.wigeongrade.decisions.published.GroupedModel;

/**
 * Tells which models have more requests than their groups answer in time, so that spares should serve them.
 *
 * <p>Invariant: one more group at a time, since requests need a while to spread to it. Time is a parameter. Not thread safe.
 */
final class Demand {
    /** Part of the slots in use from which on first events come late; engines slow down with each request they run. */
    private static final double HIGH_PART = 0.7;
    /** Time between two groups that are added: one is formed and its share of the requests has come. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    private long addedNanos = Long.MIN_VALUE;

    /** Returns whether one more group of the model may be added now. */
    boolean wantsMore(EngineProfile engine, GroupedModel model, List<ManagedGroup> groups, GroupSurroundings around) {
        final boolean paused = addedNanos != Long.MIN_VALUE && around.nowNanos() - addedNanos < PAUSE_NANOS;
        return !paused && usedPart(engine, model, groups, around) >= HIGH_PART;
    }

    void added(long nowNanos) {
        addedNanos = nowNanos;
    }

    /** Returns the part of the slots of a model's routable groups that requests use. */
    private static double usedPart(
            EngineProfile engine, GroupedModel model, List<ManagedGroup> groups, GroupSurroundings around) {
        final List<ManagedGroup> serving = groups.stream()
                .filter(group ->
                        group.phase().isRoutable() && group.model.name().equals(model.name()))
                .toList();
        final int running = serving.stream()
                .mapToInt(group -> around.evidenceOf(group.head()).inFlight())
                .sum();
        return serving.isEmpty() ? 0 : (double) running / (serving.size() * engine.slots());
    }
}
