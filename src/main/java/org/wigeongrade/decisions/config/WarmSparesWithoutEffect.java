package org.wigeongrade.decisions.config;

import java.util.List;

/**
 * Finds pools that declare warm spares although they weigh stranded accelerators, since no spares are kept for them.
 * Stateless.
 */
final class WarmSparesWithoutEffect implements ConfigurationRule {
    @Override
    public String code() {
        return "warm_spares_without_effect";
    }

    @Override
    public String summary() {
        return "A pool that weighs stranded accelerators declares warm spares, which are not kept for it.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        return set.pools().stream()
                .filter(pool -> pool.warmSpares() > pool.weighs().sparesToKeep(pool.warmSpares()))
                .map(pool -> fault(ObjectId.of(ObjectKind.POOL, pool.name()), pool.weighs()))
                .toList();
    }

    private ConfigurationFault fault(ObjectId id, PlacementObjective objective) {
        return ConfigurationFault.warning(
                code(),
                id,
                "warm_spares",
                id + " weighs " + objective.label()
                        + ", so its warm_spares are not kept; set warm_spares = 0 or weighs = \""
                        + PlacementObjective.GROUP_DOWNTIME.label() + "\"");
    }
}
