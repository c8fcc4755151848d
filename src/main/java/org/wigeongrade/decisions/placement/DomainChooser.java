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
 * Chooses the fabric domain for each new group of one pool.
 *
 * <p>Domains are preferred in this order: those with enough free VMs that already hold the model version, so that none
 * has to load it; those with the most free VMs that still announce the group; those in the availability zone with the
 * fewest groups of the pool; those that the pool's placement objective ({@code weighs}) prefers; and last by zone and
 * domain name.
 *
 * <p>Not thread safe; each instance serves one pool in one plan.
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
        view.formedGroupsOf(pool.name()).forEach(group -> groupsInZone.add(group.zone()));
    }

    /** Records that this plan forms a group in the zone; later choices take it into account. */
    void recordFormedGroup(AvailabilityZone zone) {
        groupsInZone.add(zone);
    }

    /** Returns the preferred domain for the group, or the reason why none can be used now. */
    DomainChoice choose(DeclaredGroup group) {
        final List<DomainKey> candidates = domainsInService(group);
        if (candidates.isEmpty() && noZoneInService(group)) {
            return new DomainChoice.NoDomain(PlacementReason.ZONES_OUT);
        }
        final List<DomainKey> largeEnough = candidates.stream()
                .filter(domain -> free.count(domain) >= pool.vmsPerReplica())
                .collect(ImmutableList.toImmutableList());
        if (largeEnough.isEmpty()) {
            return new DomainChoice.NoDomain(PlacementReason.NO_DOMAIN_WITH_ENOUGH_VMS);
        }
        return largeEnough.stream()
                .filter(domain -> mayUseSpares(group) || leavesEnoughSpares(domain))
                .min(preference(group))
                .<DomainChoice>map(DomainChoice.Chosen::new)
                .orElse(new DomainChoice.NoDomain(PlacementReason.SPARES_KEPT));
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

    private boolean leavesEnoughSpares(DomainKey domain) {
        return free.count(domain.zone()) - pool.vmsPerReplica() >= sparesToKeep(domain.zone());
    }

    private int sparesToKeep(AvailabilityZone zone) {
        return view.pools().stream()
                .filter(other -> other.zones().isEmpty() || other.zones().contains(zone))
                .mapToInt(other -> other.weighs().sparesToKeep(other.warmSpares()))
                .sum();
    }

    private boolean requiresModelLoad(DomainKey domain) {
        return free.countHolding(domain, pool.modelVersion()) < pool.vmsPerReplica();
    }

    private Comparator<DomainKey> preference(DeclaredGroup group) {
        return Comparator.comparing((DomainKey domain) -> requiresModelLoad(domain))
                .thenComparing(domain -> -free.countAnnouncing(domain, group.name()))
                .thenComparing(domain -> groupsInZone.count(domain.zone()))
                .thenComparing(free::count, pool.weighs().leftoverVmsOrder())
                .thenComparing(Comparator.naturalOrder());
    }
}
