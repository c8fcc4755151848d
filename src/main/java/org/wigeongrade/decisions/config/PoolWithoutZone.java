package org.wigeongrade.decisions.config;

import java.util.List;

/**
 * Finds pools in a set that declares no availability zone, since their groups could not be formed anywhere. Stateless.
 */
final class PoolWithoutZone implements ConfigurationRule {
    @Override
    public String code() {
        return "pool_without_zone";
    }

    @Override
    public String summary() {
        return "A pool is declared but no availability zone is, so its groups could not be formed anywhere.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        if (!set.zones().isEmpty()) {
            return List.of();
        }
        return set.pools().stream()
                .map(pool -> ObjectId.of(ObjectKind.POOL, pool.name()))
                .map(id -> ConfigurationFault.error(
                        code(), id, "availability_zones", id + " has no availability zone; declare one"))
                .toList();
    }
}
