package org.wigeongrade.decisions.config;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;
import org.wigeongrade.ids.GroupName;
import org.wigeongrade.ids.PoolName;

/**
 * Finds the groups that a declared set contains: those declared by name and the numbered ones of each pool. Stateless;
 * safe for use from any thread.
 */
public final class DeclaredGroups {
    private DeclaredGroups() {}

    /** Returns the name of a pool's numbered group; {@code number} counts from 1. */
    public static GroupName numberedGroupName(PoolName pool, int number) {
        return GroupName.of(pool.value() + "/" + number);
    }

    /** Returns the pool of that name, if it is declared. */
    public static Optional<PoolDeclaration> pool(DeclaredSet set, PoolName name) {
        return set.pools().stream().filter(pool -> pool.name().equals(name)).findFirst();
    }

    /** Returns the groups of a pool: those declared by name first, then the numbered ones. */
    public static List<DeclaredGroup> ofPool(DeclaredSet set, PoolDeclaration pool) {
        final List<DeclaredGroup> groups = new ArrayList<>();
        for (final GroupDeclaration group : set.groups()) {
            if (group.pool().equals(pool.name())) {
                groups.add(new DeclaredGroup(group.name(), pool, List.of(group.zone()), groups.size()));
            }
        }
        final List<AvailabilityZone> zones = zonesOf(set, pool);
        for (int number = 1; number <= pool.replicas(); number++) {
            groups.add(new DeclaredGroup(numberedGroupName(pool.name(), number), pool, zones, groups.size()));
        }
        return groups;
    }

    /** Returns the names of all groups that the set contains. */
    public static Set<GroupName> names(DeclaredSet set) {
        return set.pools().stream()
                .flatMap(pool -> ofPool(set, pool).stream())
                .map(DeclaredGroup::name)
                .collect(ImmutableSet.toImmutableSet());
    }

    /** Returns the declared group of that name in the pool, if there is one. */
    public static Optional<DeclaredGroup> find(DeclaredSet set, PoolName pool, GroupName name) {
        return pool(set, pool).stream()
                .flatMap(declared -> ofPool(set, declared).stream())
                .filter(group -> group.name().equals(name))
                .findFirst();
    }

    private static List<AvailabilityZone> zonesOf(DeclaredSet set, PoolDeclaration pool) {
        if (!pool.zones().isEmpty()) {
            return pool.zones();
        }
        return set.zones().stream().map(ZoneDeclaration::name).collect(ImmutableList.toImmutableList());
    }
}
