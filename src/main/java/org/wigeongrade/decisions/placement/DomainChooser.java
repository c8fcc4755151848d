package org.wigeongrade.decisions.placement;

import com.google.common.collect.HashMultiset;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.Multiset;
import java.util.Comparator;
import java.util.List;
import org.wigeongrade.decisions.config.DeclaredGroup;
import org.wigeongrade.decisions.config.PoolDeclaration;
import org.wigeongrade.ids.AvailabilityZone;

/**
 * Chooses the fabric domain for each new group of one pool: first a domain in which no VM has to load, then the domain
 * with most VMs that still announce the group, then the availability zone with the fewest groups of the pool, then the domain that suits the pool's weight.
 *
 * <p>Not thread safe; made for one pool in one plan.
 */
final class DomainChooser {
    private final PlacementView view;
    private final FreeVms free;
    private final PoolDeclaration pool;
    private final Multiset<AvailabilityZone> groupsInZone = HashMultiset.create();

    DomainChooser(PlacementView view, FreeVms free, PoolDeclaration pool) {
        this.view = view;
        this.free = free;
        this.pool = pool;
        view.formedOf(pool.name()).forEach(group -> groupsInZone.add(group.zone()));
    }

    /** Counts a group as formed in the zone for the choices that follow. */
    void formedIn(AvailabilityZone zone) {
        groupsInZone.add(zone);
    }

    DomainChoice choose(DeclaredGroup group) {
        final List<DomainKey> inZones = domainsInService(group);
        if (inZones.isEmpty() && noZoneInService(group)) {
            return new DomainChoice.None(PlacementReason.ZONES_OUT);
        }
        final List<DomainKey> roomy = inZones.stream()
                .filter(domain -> free.in(domain) >= pool.vmsPerReplica())
                .collect(ImmutableList.toImmutableList());
        if (roomy.isEmpty()) {
            return new DomainChoice.None(PlacementReason.NO_DOMAIN_WITH_ENOUGH_VMS);
        }
        return roomy.stream()
                .filter(domain -> mayUseSpares(group) || leavesSpares(domain))
                .min(preference(group))
                .<DomainChoice>map(DomainChoice.Chosen::new)
                .orElse(new DomainChoice.None(PlacementReason.SPARES_KEPT));
    }

    private List<DomainKey> domainsInService(DeclaredGroup group) {
        return free.domains().stream()
                .filter(domain -> group.allows(domain.zone()) && view.takesNewWork(domain.zone()))
                .collect(ImmutableList.toImmutableList());
    }

    private boolean noZoneInService(DeclaredGroup group) {
        return group.zones().stream().noneMatch(view::takesNewWork);
    }

    private boolean mayUseSpares(DeclaredGroup group) {
        return view.wasDissolved(group.name());
    }

    private boolean leavesSpares(DomainKey domain) {
        return free.in(domain.zone()) - pool.vmsPerReplica() >= sparesToKeep(domain.zone());
    }

    private int sparesToKeep(AvailabilityZone zone) {
        return view.pools().stream()
                .filter(other -> other.zones().isEmpty() || other.zones().contains(zone))
                .mapToInt(other -> other.weighs().sparesToKeep(other.warmSpares()))
                .sum();
    }

    private boolean needsLoad(DomainKey domain) {
        return free.holding(domain, pool.modelVersion()) < pool.vmsPerReplica();
    }

    private Comparator<DomainKey> preference(DeclaredGroup group) {
        return Comparator.comparing((DomainKey domain) -> needsLoad(domain))
                .thenComparing(domain -> -free.survivors(domain, group.name()))
                .thenComparing(domain -> groupsInZone.count(domain.zone()))
                .thenComparing(free::in, pool.weighs().leftOverOrder())
                .thenComparing(Comparator.naturalOrder());
    }
}
