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
 * <p>Invariant: the plan depends only on the input, so equal inputs give equal plans. The leader applies a plan's
 * commands in their order and makes the next plan after their results are known. Stateless; safe for use from any
 * thread.
 */
public final class PlacementPlanner {
    private PlacementPlanner() {}

    /** Returns the plan: first the groups to form or hold, then the groups to dissolve, then the orders to send. */
    public static List<PlacementAction> plan(PlacementInput input) {
        final PlacementView view = new PlacementView(input);
        final FencingTokenIssuer tokens = new FencingTokenIssuer(input.term(), input.largestToken());
        final List<PlacementAction> formations = FormationPlanner.plan(view, tokens);
        final List<PlacementAction> dissolutions = DissolvePlanner.plan(view, formingPools(formations), tokens);
        return ImmutableList.<PlacementAction>builder()
                .addAll(formations)
                .addAll(dissolutions)
                .addAll(OrderPlanner.plan(view, dissolvedGroups(dissolutions)))
                .build();
    }

    private static Set<PoolName> formingPools(List<PlacementAction> actions) {
        return actions.stream()
                .filter(PlacementAction.FormGroup.class::isInstance)
                .map(action -> ((PlacementAction.FormGroup) action).command().pool())
                .collect(ImmutableSet.toImmutableSet());
    }

    private static Set<GroupName> dissolvedGroups(List<PlacementAction> dissolutions) {
        return dissolutions.stream()
                .map(action ->
                        ((PlacementAction.DissolveGroup) action).command().group())
                .collect(ImmutableSet.toImmutableSet());
    }
}
