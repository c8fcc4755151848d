package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.List;
import java.util.Set;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.PoolName;

/**
 * Decides which groups to dissolve, which to form and which orders to send.
 *
 * <p>Invariant: the plan depends on the input alone; equal inputs give equal plans. The leader applies a plan's commands
 * in their order and makes the next plan after their results are known. Stateless; safe for use from any thread.
 */
public final class PlacementPlanner {
    private PlacementPlanner() {}

    /** Returns the plan: forms and holds, then dissolves, then orders. */
    public static List<PlacementAction> plan(PlacementInput input) {
        final PlacementView view = new PlacementView(input);
        final TokenSource tokens = new TokenSource(input.term(), input.largestToken());
        final List<PlacementAction> formed = FormationPlanner.plan(view, tokens);
        final List<PlacementAction> dissolved = DissolvePlanner.plan(view, formingPools(formed), tokens);
        return ImmutableList.<PlacementAction>builder()
                .addAll(formed)
                .addAll(dissolved)
                .addAll(OrderPlanner.plan(view, groups(dissolved)))
                .build();
    }

    private static Set<PoolName> formingPools(List<PlacementAction> actions) {
        return actions.stream()
                .filter(PlacementAction.FormGroup.class::isInstance)
                .map(action -> ((PlacementAction.FormGroup) action).command().pool())
                .collect(ImmutableSet.toImmutableSet());
    }

    private static Set<GroupName> groups(List<PlacementAction> dissolved) {
        return dissolved.stream()
                .map(action ->
                        ((PlacementAction.DissolveGroup) action).command().group())
                .collect(ImmutableSet.toImmutableSet());
    }
}
