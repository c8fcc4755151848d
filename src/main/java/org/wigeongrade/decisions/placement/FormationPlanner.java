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
 * Forms the declared groups that are not formed, as far as VMs and the pool's {@code max_loads} allow.
 *
 * <p>Stateless; safe for use from any thread.
 */
final class FormationPlanner {
    private FormationPlanner() {}

    static List<PlacementAction> plan(PlacementView view, TokenSource tokens) {
        final FreeVms free = new FreeVms(view.free());
        final List<PlacementAction> actions = new ArrayList<>();
        view.pools().forEach(pool -> planPool(view, pool, free, tokens, actions));
        return actions;
    }

    private static void planPool(
            PlacementView view, PoolDeclaration pool, FreeVms free, TokenSource tokens, List<PlacementAction> actions) {
        final DomainChooser chooser = new DomainChooser(view, free, pool);
        long loadsLeft = pool.maxLoads() - loading(view, pool);
        for (final DeclaredGroup group : wanted(view, pool)) {
            if (loadsLeft <= 0) {
                actions.add(new PlacementAction.Hold(group.name(), PlacementReason.LOADS_BOUND));
                continue;
            }
            final DomainChoice choice = chooser.choose(group);
            if (choice instanceof DomainChoice.None none) {
                actions.add(new PlacementAction.Hold(group.name(), none.reason()));
                continue;
            }
            final DomainKey domain = ((DomainChoice.Chosen) choice).domain();
            actions.add(form(view, group, domain, free, tokens));
            chooser.formedIn(domain.zone());
            loadsLeft--;
        }
    }

    private static long loading(PlacementView view, PoolDeclaration pool) {
        return view.formedOf(pool.name()).stream()
                .filter(group -> !view.isLoaded(group))
                .count();
    }

    /** Returns the groups to form; those that were dissolved come first, since their members may still hold them. */
    private static List<DeclaredGroup> wanted(PlacementView view, PoolDeclaration pool) {
        return view.declaredOf(pool.name()).stream()
                .filter(group -> !view.isFormed(group.name()))
                .sorted(Comparator.comparing((DeclaredGroup group) -> !view.wasDissolved(group.name()))
                        .thenComparing(DeclaredGroup::order))
                .collect(ImmutableList.toImmutableList());
    }

    private static PlacementAction form(
            PlacementView view, DeclaredGroup group, DomainKey domain, FreeVms free, TokenSource tokens) {
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
