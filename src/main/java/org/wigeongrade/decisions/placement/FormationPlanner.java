package org.wigeongrade.decisions.placement;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.wigeongrade.decisions.config.DeclaredGroup;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.decisions.control.Command;
import org.wigeongrade.decisions.membership.Announcement;

/**
 * Plans the formation of declared groups that are not formed yet, as far as free VMs and each pool's {@code max_loads}
 * allow, and holds the others.
 *
 * <p>Stateless; safe for use from any thread.
 */
final class FormationPlanner {
    private FormationPlanner() {}

    static List<PlacementAction> plan(PlacementView view, FencingTokenIssuer tokens) {
        final FreeVms free = new FreeVms(view.freeVms());
        final List<PlacementAction> actions = new ArrayList<>();
        view.pools().forEach(pool -> planPool(view, pool, free, tokens, actions));
        return actions;
    }

    private static void planPool(
            PlacementView view,
            PoolDeclaration pool,
            FreeVms free,
            FencingTokenIssuer tokens,
            List<PlacementAction> actions) {
        final DomainChooser chooser = new DomainChooser(view, free, pool);
        long remainingLoads = pool.maxLoads() - countLoading(view, pool);
        for (final DeclaredGroup group : groupsToForm(view, pool)) {
            if (remainingLoads <= 0) {
                actions.add(new PlacementAction.Hold(group.name(), PlacementReason.LOADS_BOUND));
                continue;
            }
            final DomainChoice choice = chooser.choose(group);
            if (choice instanceof DomainChoice.NoDomain noDomain) {
                actions.add(new PlacementAction.Hold(group.name(), noDomain.reason()));
                continue;
            }
            final DomainKey domain = ((DomainChoice.Chosen) choice).domain();
            actions.add(formGroup(view, group, domain, free, tokens));
            chooser.recordFormedGroup(domain.zone());
            remainingLoads--;
        }
    }

    private static long countLoading(PlacementView view, PoolDeclaration pool) {
        return view.formedGroupsOf(pool.name()).stream()
                .filter(group -> !view.isLoaded(group))
                .count();
    }

    /**
     * Returns the declared groups that are not formed. Those that were dissolved come first, since their former members
     * may still hold the model.
     */
    private static List<DeclaredGroup> groupsToForm(PlacementView view, PoolDeclaration pool) {
        return view.declaredGroupsOf(pool.name()).stream()
                .filter(group -> !view.isFormed(group.name()))
                .sorted(Comparator.comparing((DeclaredGroup group) -> !view.wasDissolved(group.name()))
                        .thenComparing(DeclaredGroup::positionInPool))
                .collect(ImmutableList.toImmutableList());
    }

    private static PlacementAction formGroup(
            PlacementView view, DeclaredGroup group, DomainKey domain, FreeVms free, FencingTokenIssuer tokens) {
        final PoolDeclaration pool = group.pool();
        final List<Announcement> members = free.take(domain, pool.vmsPerReplica(), group.name(), pool.modelVersion());
        final PlacementReason reason =
                view.wasDissolved(group.name()) ? PlacementReason.GROUP_REPLACED : PlacementReason.GROUP_WANTED;
        final Command.FormGroup command = new Command.FormGroup(
                group.name(),
                pool.name(),
                pool.modelVersion(),
                domain.zone(),
                domain.domain(),
                members.stream().map(Announcement::vm).toList(),
                tokens.next(),
                reason.describe(""),
                view.input().nowEpochMs());
        return new PlacementAction.FormGroup(command, reason);
    }
}
