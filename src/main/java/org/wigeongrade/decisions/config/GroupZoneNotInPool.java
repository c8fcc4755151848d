package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds groups pinned to an availability zone that their pool does not list, since they would never be formed.
 * Stateless.
 */
final class GroupZoneNotInPool implements ConfigurationRule {
    @Override
    public String code() {
        return "group_zone_not_in_pool";
    }

    @Override
    public String summary() {
        return "A group is pinned to an availability zone that its pool does not list.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final GroupDeclaration group : set.groups()) {
            DeclaredGroups.pool(set, group.pool())
                    .filter(pool -> !pool.zones().isEmpty() && !pool.zones().contains(group.zone()))
                    .ifPresent(pool -> faults.add(fault(group)));
        }
        return faults;
    }

    private ConfigurationFault fault(GroupDeclaration group) {
        final ObjectId id = ObjectId.of(ObjectKind.GROUP, group.name());
        return ConfigurationFault.error(
                code(),
                id,
                "availability_zone",
                id + " is pinned to " + group.zone() + ", which pool '" + group.pool()
                        + "' does not list; add it to the pool or pin the group elsewhere");
    }
}
