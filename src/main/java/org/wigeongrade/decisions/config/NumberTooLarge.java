package org.wigeongrade.decisions.config;

import java.util.ArrayList;
import java.util.List;

/** Finds sizes larger than the control VMs can handle, most likely typing errors. Stateless. */
final class NumberTooLarge implements ConfigurationRule {
    private static final int MAX_REPLICAS = 5_000;
    private static final int MAX_VMS_PER_REPLICA = 512;
    private static final int MAX_CAPACITY = 100_000;
    private static final long MAX_LONGEST_RUN_MS = 6L * 60 * 60 * 1_000;

    @Override
    public String code() {
        return "number_too_large";
    }

    @Override
    public String summary() {
        return "A size is beyond what the control VMs can hold.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final PoolDeclaration pool : set.pools()) {
            final ObjectId id = ObjectId.of(ObjectKind.POOL, pool.name());
            checkAtMost(MAX_REPLICAS, pool.replicas(), id, "replicas", faults);
            checkAtMost(MAX_VMS_PER_REPLICA, pool.vmsPerReplica(), id, "vms_per_replica", faults);
            checkAtMost(MAX_CAPACITY, pool.capacity(), id, "capacity", faults);
            checkAtMost(MAX_LONGEST_RUN_MS, pool.longestRunMs(), id, "longest_run_ms", faults);
        }
        for (final ServiceDeclaration service : set.services()) {
            final ObjectId id = ObjectId.of(ObjectKind.SERVICE, service.name());
            checkAtMost(MAX_CAPACITY, service.capacity(), id, "capacity", faults);
            checkAtMost(MAX_LONGEST_RUN_MS, service.longestRunMs(), id, "longest_run_ms", faults);
        }
        return faults;
    }

    private void checkAtMost(long max, long value, ObjectId id, String field, List<ConfigurationFault> faults) {
        if (value <= max) {
            return;
        }
        faults.add(ConfigurationFault.error(
                code(), id, field, id + " has " + field + " = " + value + "; set it to " + max + " or less"));
    }
}
