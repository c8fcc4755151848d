package org.wigeongrade.decisions.config;

import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.wigeongrade.ids.AvailabilityZone;

/** Finds references to objects that the set does not declare, since they could never be resolved. Stateless. */
final class UnknownReference implements ConfigurationRule {
    @Override
    public String code() {
        return "unknown_reference";
    }

    @Override
    public String summary() {
        return "An object names another object that the set does not declare.";
    }

    @Override
    public List<ConfigurationFault> check(DeclaredSet set, DeclaredSet current) {
        final Set<ObjectId> declared = ImmutableSet.copyOf(DeclaredObjects.ids(set));
        final List<ConfigurationFault> faults = new ArrayList<>();
        for (final PoolDeclaration pool : set.pools()) {
            final ObjectId id = ObjectId.of(ObjectKind.POOL, pool.name());
            requireDeclared(
                    declared, id, "model_version", ObjectId.of(ObjectKind.MODEL_VERSION, pool.modelVersion()), faults);
            requireZonesDeclared(declared, id, pool.zones(), faults);
        }
        for (final GroupDeclaration group : set.groups()) {
            final ObjectId id = ObjectId.of(ObjectKind.GROUP, group.name());
            requireDeclared(declared, id, "pool", ObjectId.of(ObjectKind.POOL, group.pool()), faults);
            requireZonesDeclared(declared, id, List.of(group.zone()), faults);
        }
        for (final ServiceDeclaration service : set.services()) {
            requireZonesDeclared(declared, ObjectId.of(ObjectKind.SERVICE, service.name()), service.zones(), faults);
        }
        return faults;
    }

    private void requireZonesDeclared(
            Set<ObjectId> declared, ObjectId owner, List<AvailabilityZone> zones, List<ConfigurationFault> faults) {
        final String field = owner.kind() == ObjectKind.GROUP ? "availability_zone" : "availability_zones";
        for (final AvailabilityZone zone : zones) {
            requireDeclared(declared, owner, field, ObjectId.of(ObjectKind.AVAILABILITY_ZONE, zone), faults);
        }
    }

    private void requireDeclared(
            Set<ObjectId> declared, ObjectId owner, String field, ObjectId target, List<ConfigurationFault> faults) {
        if (declared.contains(target)) {
            return;
        }
        faults.add(ConfigurationFault.error(
                code(),
                owner,
                field,
                owner + " refers to " + target + ", which is not declared; declare it or refer to another"));
    }
}
