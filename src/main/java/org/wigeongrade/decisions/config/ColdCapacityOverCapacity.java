package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/**
 * Finds cold capacities above the warm capacity, since a cold endpoint can handle less load than a warm one. Stateless.
 */
final class ColdCapacityOverCapacity implements ConfigurationRule {
    @Override
    public String code() {
        return "cold_capacity_over_capacity";
    }

    @Override
    public String summary() {
        return "The capacity in a cold start is above the warm capacity, so a cold endpoint would be overloaded.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final PoolDeclaration pool : set.pools()) {
            check(ObjectId.of(ObjectKind.POOL, pool.name()), pool.coldCapacity(), pool.capacity(), faults);
        }
        for (final ServiceDeclaration service : set.services()) {
            check(ObjectId.of(ObjectKind.SERVICE, service.name()), service.coldCapacity(), service.capacity(), faults);
        }
        return faults;
    }

    private void check(ObjectId id, int coldCapacity, int capacity, List<ConfigurationFault> faults) {
        if (coldCapacity <= capacity) {
            return;
        }
        faults.add(ConfigurationFault.error(
                code(),
                id,
                "cold_capacity",
                id + " has cold_capacity = " + coldCapacity + " above capacity = " + capacity
                        + "; set cold_capacity to what an endpoint can handle in a cold start"));
    }
}
