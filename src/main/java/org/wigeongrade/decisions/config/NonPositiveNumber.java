package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/** Finds sizes and limits below their minimum of 0 or 1, since nothing could ever run under them. Stateless. */
final class NonPositiveNumber implements ConfigurationRule {
    @Override
    public String code() {
        return "non_positive_number";
    }

    @Override
    public String summary() {
        return "A size or limit is zero or negative, so nothing could ever run under it.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        set.pools().forEach(pool -> checkPool(pool, faults));
        set.services().forEach(service -> checkService(service, faults));
        set.organisations().forEach(organisation -> checkOrganisation(organisation, faults));
        return faults;
    }

    private void checkPool(PoolDeclaration pool, List<ConfigurationFault> faults) {
        final ObjectId id = ObjectId.of(ObjectKind.POOL, pool.name());
        checkAtLeast(0, pool.replicas(), id, "replicas", faults);
        checkAtLeast(1, pool.vmsPerReplica(), id, "vms_per_replica", faults);
        checkAtLeast(1, pool.capacity(), id, "capacity", faults);
        checkAtLeast(1, pool.coldCapacity(), id, "cold_capacity", faults);
        checkAtLeast(0, pool.warmSpares(), id, "warm_spares", faults);
        checkAtLeast(1, pool.longestRunMs(), id, "longest_run_ms", faults);
        checkAtLeast(1, pool.maxLoads(), id, "max_loads", faults);
    }

    private void checkService(ServiceDeclaration service, List<ConfigurationFault> faults) {
        final ObjectId id = ObjectId.of(ObjectKind.SERVICE, service.name());
        checkAtLeast(1, service.capacity(), id, "capacity", faults);
        checkAtLeast(1, service.coldCapacity(), id, "cold_capacity", faults);
        checkAtLeast(1, service.longestRunMs(), id, "longest_run_ms", faults);
    }

    private void checkOrganisation(OrganisationDeclaration organisation, List<ConfigurationFault> faults) {
        final ObjectId id = ObjectId.of(ObjectKind.ORGANISATION, organisation.name());
        checkAtLeast(1, organisation.requestsPerSecond(), id, "requests_per_second", faults);
        checkAtLeast(1, organisation.requestsInFlight(), id, "requests_in_flight", faults);
        checkAtLeast(1, organisation.tokensPerMinute(), id, "tokens_per_minute", faults);
    }

    private void checkAtLeast(long min, long value, ObjectId id, String field, List<ConfigurationFault> faults) {
        if (value >= min) {
            return;
        }
        faults.add(ConfigurationFault.error(
                code(), id, field, id + " has " + field + " = " + value + "; set it to " + min + " or more"));
    }
}
